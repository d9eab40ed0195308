#pragma once

#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace trefoilarch {

/**
 * The chunks of one attempt's response that its entry has not acknowledged,
 * numbered from 0 without gaps.
 */
class AnswerBuffer
{
public:
  /** Numbers and stores the chunk; returns the copy to send. */
  const Chunk& Append(Chunk aChunk);

  /** Drops all chunks below aNextChunk. */
  void Acknowledge(uint64_t aNextChunk);

  /** Whether every chunk from aNextChunk on is still stored. */
  bool Has(uint64_t aNextChunk) const;

  /** The stored chunk of that number; requires Has(aNumber). */
  const Chunk& At(uint64_t aNumber) const;

  /** Number of chunks appended so far, which is the next chunk's number. */
  uint64_t Count() const { return mFirst + mChunks.size(); }
  bool Empty() const { return mChunks.empty(); }
  /** Bytes of data stored. */
  size_t Bytes() const { return mBytes; }

private:
  std::deque<Chunk> mChunks;
  uint64_t mFirst = 0;
  size_t mBytes = 0;
};

} // namespace trefoilarch
