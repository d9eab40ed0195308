#pragma once

#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace trefoilarch {

/**
 * The chunks of one attempt's answer that its entry has not acknowledged,
 * numbered from 0 without a gap.
 */
class AnswerBuffer
{
public:
  /** Numbers the chunk and keeps it; gives back the copy to send. */
  const Chunk& Append(Chunk aChunk);

  /** Forgets all chunks below aNextChunk. */
  void Acknowledge(uint64_t aNextChunk);

  /** Whether every chunk from aNextChunk on is still here. */
  bool Has(uint64_t aNextChunk) const;

  /** The kept chunk of that number; Has() must hold for it. */
  const Chunk& At(uint64_t aNumber) const;

  /** Chunks appended so far, kept or not: the next chunk's number. */
  uint64_t Count() const { return mFirst + mChunks.size(); }
  bool Empty() const { return mChunks.empty(); }
  /** Bytes of data kept. */
  size_t Bytes() const { return mBytes; }

private:
  std::deque<Chunk> mChunks;
  uint64_t mFirst = 0;
  size_t mBytes = 0;
};

} // namespace trefoilarch
