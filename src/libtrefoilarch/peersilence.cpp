#include "peersilence.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** An entry tells the whole of what it waits for at least each 0.64 s: what it
 * has not told for three times that is over. */
constexpr Millis kFreshSpan{ 1900 };

constexpr size_t kWitnesses = 2;

} // namespace

void
PeerSilence::OnPeerReport(const std::string& aFrom, Millis aSince, Millis aNow)
{
  std::erase_if(mTold, [&](const Told& aTold) {
    return aTold.mFrom == aFrom || aNow - aTold.mAt > kFreshSpan;
  });
  if (mTold.size() >= kWitnesses) {
    mTold.erase(mTold.begin());
  }
  mTold.push_back({ .mFrom = aFrom, .mSince = aSince, .mAt = aNow });
}

Millis
PeerSilence::Silence(Millis aNow) const
{
  size_t witnesses = 0;
  Millis since;
  for (const Told& each : mTold) {
    if (aNow - each.mAt <= kFreshSpan) {
      witnesses++;
      since = std::max(since, each.mSince);
    }
  }
  return witnesses < kWitnesses ? Millis(0) : std::max(Millis(0), aNow - since);
}

} // namespace trefoilarch
