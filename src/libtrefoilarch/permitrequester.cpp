#include "permitrequester.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** After an ask that was not answered, the upstream is left alone so long. */
constexpr Millis kUnansweredPause{ 100 };

/** Requests that one ask makes good for, beside its own. */
constexpr uint32_t kMostMissed = 31;

uint64_t
WeightOf(const std::string& aAddress, const UpstreamId& aUpstream)
{
  const std::string text = aAddress + '|' + aUpstream;
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

PermitRequester::PermitRequester(PermitRequesterOptions aOptions)
  : mOptions(aOptions)
{
}

void
PermitRequester::SetEntries(std::string aOwn, std::vector<std::string> aOthers)
{
  mOwn = std::move(aOwn);
  mOthers = std::move(aOthers);
}

PermitState
PermitRequester::StateOf(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow)
{
  const auto place = mWanted.find(aUpstream);
  if (place == mWanted.end()) {
    return PermitState::NotRequested;
  }
  Wanted& wanted = place->second;
  const bool unanswered = wanted.mState == PermitState::Requested &&
                          aNow - wanted.mAskedAt >= mOptions.mReplyTimeout;
  if (unanswered) {
    NoteSilence(wanted.mIssuer, aNow);
    wanted.mState = PermitState::Denied;
    wanted.mFromUrgency = 0;
    wanted.mUntil = aNow + kUnansweredPause;
  }
  const bool ends = wanted.mState == PermitState::Granted ||
                    wanted.mState == PermitState::Denied;
  if (ends && aNow >= wanted.mUntil) {
    wanted.mState = PermitState::NotRequested;
  }
  const bool mayAsk =
    wanted.mState == PermitState::Denied && aUrgency < wanted.mFromUrgency;
  return mayAsk ? PermitState::NotRequested : wanted.mState;
}

void
PermitRequester::NoteSilence(const std::string& aIssuer, Millis aNow)
{
  Silence& silence = mSilent[aIssuer];
  silence.mUnanswered++;
  if (silence.mUnanswered >= mOptions.mMaxUnanswered) {
    silence.mPassedOverUntil = aNow + mOptions.mBypassDuration;
  }
}

void
PermitRequester::NoteMissed(const UpstreamId& aUpstream)
{
  Wanted& wanted = mWanted[aUpstream];
  wanted.mMissed = std::min(wanted.mMissed + 1, kMostMissed);
}

AddressedPermitRequest
PermitRequester::MakeRequest(const LimitReport& aLimit,
                             uint8_t aUrgency,
                             Millis aNow)
{
  Wanted& wanted = mWanted[aLimit.mUpstream];
  const std::vector<std::string> issuers = IssuersOf(aLimit.mUpstream);
  const auto answers = [&](const std::string& aIssuer) {
    const auto silent = mSilent.find(aIssuer);
    return silent == mSilent.end() || silent->second.mPassedOverUntil <= aNow;
  };
  auto issuer = std::find_if(issuers.begin(), issuers.end(), answers);
  if (issuer == issuers.end()) {
    issuer = issuers.begin();
  }
  wanted.mIssuer = *issuer;
  wanted.mNumber = ++mAsks;
  wanted.mState = PermitState::Requested;
  wanted.mAskedAt = aNow;
  return { .mTo = wanted.mIssuer,
           .mRequest = { .mNumber = wanted.mNumber,
                         .mLimit = aLimit,
                         .mCount = 1 + std::exchange(wanted.mMissed, 0),
                         .mUrgency = aUrgency,
                         .mRank =
                           static_cast<uint32_t>(issuer - issuers.begin()) } };
}

void
PermitRequester::OnReply(const PermitReply& aReply, Millis aNow)
{
  const auto place =
    std::find_if(mWanted.begin(), mWanted.end(), [&](const auto& aWanted) {
      return aWanted.second.mNumber == aReply.mNumber &&
             aWanted.second.mState == PermitState::Requested;
    });
  if (place == mWanted.end() ||
      aNow - place->second.mAskedAt >= mOptions.mReplyTimeout) {
    return;
  }
  Wanted& wanted = place->second;
  mSilent.erase(wanted.mIssuer);
  const bool granted = aReply.mGranted > 0;
  wanted.mState = granted ? PermitState::Granted : PermitState::Denied;
  wanted.mUntil = aNow + (granted ? mOptions.mGrantLifetime : aReply.mWait);
  wanted.mLeft = aReply.mGranted;
  wanted.mFromUrgency = aReply.mFromUrgency;
}

void
PermitRequester::Use(const UpstreamId& aUpstream)
{
  Wanted& wanted = mWanted[aUpstream];
  wanted.mUsed++;
  wanted.mLeft = std::max(wanted.mLeft, 1U) - 1;
  if (wanted.mLeft == 0) {
    wanted.mState = PermitState::NotRequested;
  }
}

Millis
PermitRequester::WaitFor(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow) const
{
  const auto place = mWanted.find(aUpstream);
  const bool denied = place != mWanted.end() &&
                      place->second.mState == PermitState::Denied &&
                      aUrgency >= place->second.mFromUrgency;
  return denied ? std::max(Millis(0), place->second.mUntil - aNow) : Millis(0);
}

uint64_t
PermitRequester::Used(const UpstreamId& aUpstream) const
{
  const auto place = mWanted.find(aUpstream);
  return place == mWanted.end() ? 0 : place->second.mUsed;
}

std::vector<std::string>
PermitRequester::IssuersOf(const UpstreamId& aUpstream) const
{
  std::vector<std::pair<uint64_t, std::string>> weighed;
  weighed.reserve(mOthers.size() + 1);
  weighed.emplace_back(WeightOf(mOwn, aUpstream), mOwn);
  for (const std::string& each : mOthers) {
    weighed.emplace_back(WeightOf(each, aUpstream), each);
  }
  std::sort(weighed.begin(), weighed.end(), std::greater<>());
  std::vector<std::string> issuers;
  issuers.reserve(weighed.size());
  for (auto& [weight, address] : weighed) {
    issuers.push_back(std::move(address));
  }
  return issuers;
}

} // namespace trefoilarch
