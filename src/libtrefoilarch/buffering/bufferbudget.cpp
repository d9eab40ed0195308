#include "bufferbudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace trefoilarch {

namespace {

/**
 * A caller may be held the free bytes divided by this. Callers that stop
 * reading at the same time thus leave some bytes free: of 22 MB, 1000 of them
 * are held 21 KB each, and 350 KB stay free.
 */
constexpr size_t kFreeDivisor = 16;

} // namespace

BufferBudget::BufferBudget(BufferBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

size_t
BufferBudget::FreeBytes() const
{
  return mOptions.mTotalBytes - std::min(mOptions.mTotalBytes, mTotalBytes);
}

size_t
BufferBudget::Limit() const
{
  return std::min(mOptions.mStreamBytes, FreeBytes() / kFreeDivisor);
}

void
BufferBudget::Resize(Streams::iterator aStream, size_t aBytes)
{
  Stream& stream = aStream->second;
  if (stream.mPaused) {
    mPaused.erase({ stream.mBytes, aStream->first });
    mPaused.insert({ aBytes, aStream->first });
  }
  mTotalBytes = mTotalBytes - stream.mBytes + aBytes;
  stream.mBytes = aBytes;
  RemoveIfUnused(aStream);
}

void
BufferBudget::RemoveIfUnused(Streams::iterator aStream)
{
  const Stream& stream = aStream->second;
  if (stream.mBytes == 0 && stream.mUnoffered == 0 && !stream.mPaused) {
    mStreams.erase(aStream);
  }
}

void
BufferBudget::OnHeld(StreamId aStream,
                     uint8_t aTier,
                     size_t aBytes,
                     Millis aNow)
{
  if (aBytes == 0) {
    return;
  }
  const auto stream = mStreams.try_emplace(aStream).first;
  stream->second.mTier = aTier;
  if (stream->second.mBytes == 0) {
    stream->second.mProgressAt = aNow;
  }
  Resize(stream, stream->second.mBytes + aBytes);
}

void
BufferBudget::OnDrained(StreamId aStream, size_t aBytes, Millis aNow)
{
  const auto stream = mStreams.find(aStream);
  if (stream == mStreams.end() || aBytes == 0) {
    return;
  }
  stream->second.mProgressAt = aNow;
  Resize(stream,
         stream->second.mBytes - std::min(stream->second.mBytes, aBytes));
}

void
BufferBudget::OnProgress(StreamId aStream, Millis aNow)
{
  const auto stream = mStreams.find(aStream);
  if (stream != mStreams.end()) {
    stream->second.mProgressAt = aNow;
  }
}

void
BufferBudget::SetUnoffered(StreamId aStream, size_t aBytes)
{
  const auto stream = mStreams.try_emplace(aStream).first;
  mTotalBytes = mTotalBytes - stream->second.mUnoffered + aBytes;
  stream->second.mUnoffered = aBytes;
  RemoveIfUnused(stream);
}

void
BufferBudget::OnClosed(StreamId aStream)
{
  const auto stream = mStreams.find(aStream);
  if (stream == mStreams.end()) {
    return;
  }
  if (stream->second.mPaused) {
    mPaused.erase({ stream->second.mBytes, aStream });
    stream->second.mPaused = false;
  }
  mTotalBytes -= std::exchange(stream->second.mUnoffered, 0);
  Resize(stream, 0);
}

size_t
BufferBudget::HeldBytes(StreamId aStream) const
{
  const auto stream = mStreams.find(aStream);
  return stream == mStreams.end() ? 0 : stream->second.mBytes;
}

Millis
BufferBudget::StallTime(StreamId aStream, Millis aNow) const
{
  const auto stream = mStreams.find(aStream);
  return stream == mStreams.end() || stream->second.mBytes == 0
           ? Millis(0)
           : aNow - stream->second.mProgressAt;
}

std::vector<StreamId>
BufferBudget::Holding() const
{
  std::vector<StreamId> holding;
  for (const auto& [id, stream] : mStreams) {
    if (stream.mBytes > 0) {
      holding.push_back(id);
    }
  }
  return holding;
}

bool
BufferBudget::MayRead(StreamId aStream) const
{
  return HeldBytes(aStream) + mOptions.mReadBytes <= Limit();
}

void
BufferBudget::OnPaused(StreamId aStream)
{
  Stream& stream = mStreams[aStream];
  stream.mPaused = true;
  mPaused.insert({ stream.mBytes, aStream });
}

std::vector<StreamId>
BufferBudget::TakeReadable()
{
  std::vector<StreamId> readable;
  // Each of those named is expected to read once.
  size_t free = FreeBytes();
  while (!mPaused.empty()) {
    const auto [bytes, id] = *mPaused.begin();
    const size_t limit = std::min(mOptions.mStreamBytes, free / kFreeDivisor);
    if (bytes + mOptions.mReadBytes > limit) {
      break;
    }
    free -= mOptions.mReadBytes;
    mPaused.erase(mPaused.begin());
    const auto stream = mStreams.find(id);
    stream->second.mPaused = false;
    Resize(stream, bytes);
    readable.push_back(id);
  }
  return readable;
}

bool
BufferBudget::IsVictim(const Stream& aStream, Millis aNow) const
{
  const bool stalled =
    aStream.mBytes > 0 && aNow - aStream.mProgressAt >= mOptions.mVictimStall;
  return stalled || aStream.mUnoffered > mOptions.mStreamBytes;
}

std::vector<StreamId>
BufferBudget::Victims(Millis aNow) const
{
  if (!IsExhausted()) {
    return {};
  }
  // Ordered by tier, then by the time of the last progress.
  std::vector<std::tuple<int, Millis, StreamId, size_t>> candidates;
  for (const auto& [id, stream] : mStreams) {
    if (IsVictim(stream, aNow)) {
      candidates.emplace_back(-int{ stream.mTier },
                              stream.mProgressAt,
                              id,
                              stream.mBytes + stream.mUnoffered);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const size_t needed = mOptions.mReadBytes * kFreeDivisor;
  // A lowered bound may be far below the bytes held.
  size_t held = mTotalBytes;
  std::vector<StreamId> victims;
  for (const auto& [tier, progressAt, id, bytes] : candidates) {
    if (held + needed <= mOptions.mTotalBytes) {
      break;
    }
    held -= bytes;
    victims.push_back(id);
  }
  return victims;
}

std::vector<StreamId>
BufferBudget::Stalled(Millis aNow) const
{
  std::vector<StreamId> stalled;
  for (const auto& [id, stream] : mStreams) {
    if (stream.mBytes > 0 &&
        aNow - stream.mProgressAt >= mOptions.mStallTimeout) {
      stalled.push_back(id);
    }
  }
  return stalled;
}

bool
BufferBudget::MaySend(const UpstreamId& aUpstream, size_t aBytes) const
{
  const size_t sending = BytesTowards(aUpstream);
  const size_t limit = mOptions.mUpstreamBytes;
  return sending == 0 || (sending <= limit && aBytes <= limit - sending);
}

void
BufferBudget::OnSending(StreamId aBody,
                        const UpstreamId& aUpstream,
                        size_t aBytes,
                        Millis aNow)
{
  if (aBytes == 0 || mBodies.contains(aBody)) {
    return;
  }
  mBodies[aBody] = { .mUpstream = aUpstream,
                     .mBytes = aBytes,
                     .mProgressAt = aNow };
  mTowards[aUpstream] += aBytes;
}

void
BufferBudget::OnSentBody(StreamId aBody, size_t aBytes, Millis aNow)
{
  const auto body = mBodies.find(aBody);
  if (body == mBodies.end() || aBytes == 0) {
    return;
  }
  body->second.mProgressAt = aNow;
  RemoveBodyBytes(body->second, aBytes);
  if (body->second.mBytes == 0) {
    mBodies.erase(body);
  }
}

void
BufferBudget::OnBodyEnded(StreamId aBody)
{
  const auto body = mBodies.find(aBody);
  if (body == mBodies.end()) {
    return;
  }
  RemoveBodyBytes(body->second, body->second.mBytes);
  mBodies.erase(body);
}

void
BufferBudget::RemoveBodyBytes(Body& aBody, size_t aBytes)
{
  const size_t removed = std::min(aBody.mBytes, aBytes);
  aBody.mBytes -= removed;
  const auto towards = mTowards.find(aBody.mUpstream);
  towards->second -= removed;
  if (towards->second == 0) {
    mTowards.erase(towards);
  }
}

std::vector<StreamId>
BufferBudget::StalledBodies(Millis aNow) const
{
  std::vector<StreamId> stalled;
  for (const auto& [id, body] : mBodies) {
    if (aNow - body.mProgressAt >= mOptions.mStallTimeout) {
      stalled.push_back(id);
    }
  }
  return stalled;
}

size_t
BufferBudget::BytesTowards(const UpstreamId& aUpstream) const
{
  const auto towards = mTowards.find(aUpstream);
  return towards == mTowards.end() ? 0 : towards->second;
}

} // namespace trefoilarch
