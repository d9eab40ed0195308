#include "writequeue.h"

#include <utility>

namespace trefoilgate {

namespace {

/** Size at which another piece is begun; also what one write hands over. */
constexpr size_t kPieceBytes = 65536;

/** A written piece keeps this capacity for the next bytes; it fits the events
 * of a stream. */
constexpr size_t kMaxKeptCapacity = 2048;

void
Clear(std::string& aText)
{
  if (aText.capacity() > kMaxKeptCapacity) {
    aText = std::string();
  } else {
    aText.clear();
  }
}

} // namespace

void
WriteQueue::Append(std::string_view aData)
{
  mBytes += aData.size();
  // Data that exceeds a piece becomes a piece of its own.
  const bool fits = mNext.empty() || mNext.size() + aData.size() <= kPieceBytes;
  if (mMore.empty() && fits) {
    mNext += aData;
    return;
  }
  if (mMore.empty() || mMore.back().size() + aData.size() > kPieceBytes) {
    mMore.emplace_back();
    mMore.back().reserve(kPieceBytes);
  }
  mMore.back() += aData;
}

std::string_view
WriteQueue::Front()
{
  if (mFrontWritten == mFront.size()) {
    TakeNextPiece();
  }
  return std::string_view(mFront).substr(mFrontWritten);
}

void
WriteQueue::Consume(size_t aBytes)
{
  mFrontWritten += aBytes;
  mBytes -= aBytes;
  if (mFrontWritten == mFront.size()) {
    Clear(mFront);
    mFrontWritten = 0;
  }
}

void
WriteQueue::TakeNextPiece()
{
  Clear(mFront);
  mFrontWritten = 0;
  mFront.swap(mNext);
  if (!mMore.empty()) {
    mNext = std::move(mMore.front());
    mMore.pop_front();
  }
}

} // namespace trefoilgate
