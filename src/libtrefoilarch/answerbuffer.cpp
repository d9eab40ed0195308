#include "answerbuffer.h"

#include <utility>

namespace trefoilarch {

const Chunk&
AnswerBuffer::Append(Chunk aChunk)
{
  aChunk.mNumber = Count();
  mBytes += aChunk.mData.size();
  mChunks.push_back(std::move(aChunk));
  return mChunks.back();
}

void
AnswerBuffer::Acknowledge(uint64_t aNextChunk)
{
  while (!mChunks.empty() && mFirst < aNextChunk) {
    mBytes -= mChunks.front().mData.size();
    mChunks.pop_front();
    ++mFirst;
  }
}

bool
AnswerBuffer::Has(uint64_t aNextChunk) const
{
  return aNextChunk >= mFirst && aNextChunk <= Count();
}

const Chunk&
AnswerBuffer::At(uint64_t aNumber) const
{
  return mChunks[aNumber - mFirst];
}

} // namespace trefoilarch
