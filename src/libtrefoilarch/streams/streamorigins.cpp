#include "streamorigins.h"

#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Beyond it, the origins that expire first are dropped. */
constexpr size_t kMaxOrigins = 65536;

} // namespace

StreamKey
StreamKeyOf(std::string_view aRequestId)
{
  return aRequestId.empty() ? kNoStream
                            : XXH3_64bits(aRequestId.data(), aRequestId.size());
}

void
StreamOrigins::Put(const StreamOriginRecord& aRecord, Millis aNow)
{
  Expire(aNow);
  const Millis expiresAt = aNow + aRecord.mLifetime;
  const auto [it, inserted] = mOrigins.try_emplace(
    aRecord.mStream,
    KnownOrigin{ .mOrigin = aRecord.mOrigin, .mExpiresAt = expiresAt });
  KnownOrigin& known = it->second;
  const bool extended =
    known.mOrigin == aRecord.mOrigin && known.mExpiresAt < expiresAt;
  if (inserted || extended) {
    known.mExpiresAt = expiresAt;
    mExpiries.emplace(expiresAt, aRecord.mStream);
  }
}

std::optional<StreamOriginRecord>
StreamOrigins::Find(StreamKey aStream, Millis aNow) const
{
  const auto it = mOrigins.find(aStream);
  if (it == mOrigins.end() || it->second.mExpiresAt <= aNow) {
    return std::nullopt;
  }
  return StreamOriginRecord{ .mStream = aStream,
                             .mOrigin = it->second.mOrigin,
                             .mLifetime = it->second.mExpiresAt - aNow };
}

void
StreamOrigins::Expire(Millis aNow)
{
  while (!mExpiries.empty() &&
         (mExpiries.begin()->first <= aNow || mOrigins.size() >= kMaxOrigins)) {
    const auto [expiresAt, stream] = *mExpiries.begin();
    const auto it = mOrigins.find(stream);
    if (it != mOrigins.end() && it->second.mExpiresAt == expiresAt) {
      mOrigins.erase(it);
    }
    mExpiries.erase(mExpiries.begin());
  }
}

} // namespace trefoilarch
