#pragma once

#include "libtrefoilarch/ids.h"
#include "libtrefoilarch/millis.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoilarch {

/** A caller's connection, or a body on its way to an upstream. */
using StreamId = uint64_t;

/** Options of a BufferBudget. */
struct BufferBudgetOptions
{
  /** Maximum bytes held for one caller. */
  size_t mStreamBytes = 262144;
  /** Maximum bytes held for all callers. */
  size_t mTotalBytes = 134217728;
  /** Maximum bytes of one read from an upstream. */
  size_t mReadBytes = 8192;
  /** Maximum bytes of bodies on their way to one upstream. */
  size_t mUpstreamBytes = 67108864;
  /** A caller that reads nothing for this long is cut off, and a body that
   * makes no progress is given up. */
  Millis mStallTimeout{ 10000 };
  /** At the bound, a caller is a victim once it has read nothing for this long.
   * A caller that reads well takes its bytes within a round trip. */
  Millis mVictimStall{ 200 };

  bool operator==(const BufferBudgetOptions&) const = default;
};

/**
 * Bytes held for callers and towards upstreams, by connection and in sum, and
 * what is given up when a bound is reached.
 *
 * Each caller may be held as many bytes as its own bound and a fixed share of
 * what is free of the sum allow. As the sum nears its bound, reading stops
 * first for those that hold most, and callers that read well still find room.
 */
class BufferBudget
{
public:
  explicit BufferBudget(BufferBudgetOptions aOptions);

  const BufferBudgetOptions& Options() const { return mOptions; }
  void SetOptions(BufferBudgetOptions aOptions) { mOptions = aOptions; }

  /** Bytes were added to those held for the caller; tier 0 is the most
   * urgent. */
  void OnHeld(StreamId aStream, uint8_t aTier, size_t aBytes, Millis aNow);
  /** The caller's connection has taken bytes. */
  void OnDrained(StreamId aStream, size_t aBytes, Millis aNow);
  /** The caller has read bytes that were no longer held here. */
  void OnProgress(StreamId aStream, Millis aNow);
  /** Sets the bytes of the caller's answer that are kept here and not offered
   * to the caller yet: its answer may be repeated, or an event is incomplete.
   */
  void SetUnoffered(StreamId aStream, size_t aBytes);
  void OnClosed(StreamId aStream);

  /** Backpressure: false stops reading from the upstream. */
  bool MayRead(StreamId aStream) const;
  /** Reading for the caller has stopped; TakeReadable() names it later. */
  void OnPaused(StreamId aStream);
  /** Paused callers for which reading may continue, those that hold least
   * first; they are no longer paused. */
  std::vector<StreamId> TakeReadable();

  /** Whether the bound of the sum is reached: no caller may be read for. */
  bool IsExhausted() const { return Limit() < mOptions.mReadBytes; }
  /** What is given up at the bound: callers that don't read, the least urgent
   * first, then the oldest stall; no more than needed. An answer with more
   * unoffered bytes than may be held for a caller counts as not read. */
  std::vector<StreamId> Victims(Millis aNow) const;
  /** Callers that read nothing for the stall time-out. */
  std::vector<StreamId> Stalled(Millis aNow) const;

  size_t TotalBytes() const { return mTotalBytes; }
  size_t HeldBytes(StreamId aStream) const;
  /** Since the caller last read; zero if nothing is held for it. */
  Millis StallTime(StreamId aStream, Millis aNow) const;
  /** The callers for which bytes are held. */
  std::vector<StreamId> Holding() const;

  /** Whether the upstream may be sent a body of this size now. One body may be
   * sent if no other is on its way. */
  bool MaySend(const UpstreamId& aUpstream, size_t aBytes) const;
  void OnSending(StreamId aBody,
                 const UpstreamId& aUpstream,
                 size_t aBytes,
                 Millis aNow);
  /** The upstream's connection has taken bytes of the body. */
  void OnSentBody(StreamId aBody, size_t aBytes, Millis aNow);
  /** The rest of the body will not be sent. */
  void OnBodyEnded(StreamId aBody);
  /** Bodies that made no progress for the stall time-out. */
  std::vector<StreamId> StalledBodies(Millis aNow) const;
  /** Bytes of bodies on their way to the upstream. */
  size_t BytesTowards(const UpstreamId& aUpstream) const;

private:
  struct Stream
  {
    /** Offered to the caller. */
    size_t mBytes = 0;
    size_t mUnoffered = 0;
    uint8_t mTier = 0;
    Millis mProgressAt;
    bool mPaused = false;
  };
  struct Body
  {
    UpstreamId mUpstream;
    size_t mBytes = 0;
    Millis mProgressAt;
  };
  using Streams = std::unordered_map<StreamId, Stream>;

  size_t FreeBytes() const;
  bool IsVictim(const Stream& aStream, Millis aNow) const;
  void RemoveIfUnused(Streams::iterator aStream);
  /** Bytes that may be held for one caller at present. */
  size_t Limit() const;
  /** Changes what is held, and its place among the paused. */
  void Resize(Streams::iterator aStream, size_t aBytes);
  void RemoveBodyBytes(Body& aBody, size_t aBytes);

  BufferBudgetOptions mOptions;
  /** Callers for which bytes are held, or that are paused. */
  Streams mStreams;
  /** The paused ones by bytes held. */
  std::set<std::pair<size_t, StreamId>> mPaused;
  size_t mTotalBytes = 0;
  std::unordered_map<StreamId, Body> mBodies;
  std::unordered_map<UpstreamId, size_t> mTowards;
};

} // namespace trefoilarch
