#include "permitrequester.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Delay before the next request for the upstream if there was no reply. */
constexpr Millis kUnansweredDelay{ 100 };

/** Maximum number of missed requests that one permit request covers. */
constexpr uint32_t kMaxMissed = 31;

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
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return PermitState::NotRequested;
  }
  UpstreamPermits& permits = it->second;
  const bool unanswered = permits.mState == PermitState::Requested &&
                          aNow - permits.mRequestedAt >= mOptions.mReplyTimeout;
  if (unanswered) {
    RecordSilence(permits.mIssuer, aNow);
    permits.mState = PermitState::Denied;
    permits.mFromUrgency = 0;
    permits.mUntil = aNow + kUnansweredDelay;
  }
  const bool hasExpiry = permits.mState == PermitState::Granted ||
                         permits.mState == PermitState::Denied;
  if (hasExpiry && aNow >= permits.mUntil) {
    permits.mState = PermitState::NotRequested;
  }
  const bool mayRequest =
    permits.mState == PermitState::Denied && aUrgency < permits.mFromUrgency;
  return mayRequest ? PermitState::NotRequested : permits.mState;
}

void
PermitRequester::RecordSilence(const std::string& aIssuer, Millis aNow)
{
  IssuerSilence& silence = mSilent[aIssuer];
  silence.mUnanswered++;
  if (silence.mUnanswered >= mOptions.mMaxUnanswered) {
    silence.mBypassedUntil = aNow + mOptions.mBypassDuration;
  }
}

void
PermitRequester::CountMissed(const UpstreamId& aUpstream)
{
  UpstreamPermits& permits = mUpstreams[aUpstream];
  permits.mMissedCount = std::min(permits.mMissedCount + 1, kMaxMissed);
}

AddressedPermitRequest
PermitRequester::MakeRequest(const LimitReport& aLimit,
                             uint8_t aUrgency,
                             Millis aNow)
{
  UpstreamPermits& permits = mUpstreams[aLimit.mUpstream];
  const std::vector<std::string> issuers = IssuersOf(aLimit.mUpstream);
  const auto isAvailable = [&](const std::string& aIssuer) {
    const auto silent = mSilent.find(aIssuer);
    return silent == mSilent.end() || silent->second.mBypassedUntil <= aNow;
  };
  auto issuer = std::find_if(issuers.begin(), issuers.end(), isAvailable);
  if (issuer == issuers.end()) {
    issuer = issuers.begin();
  }
  permits.mIssuer = *issuer;
  permits.mNumber = ++mLastNumber;
  permits.mState = PermitState::Requested;
  permits.mRequestedAt = aNow;
  return { .mTo = permits.mIssuer,
           .mRequest = { .mNumber = permits.mNumber,
                         .mLimit = aLimit,
                         .mCount = 1 + std::exchange(permits.mMissedCount, 0),
                         .mUrgency = aUrgency,
                         .mRank =
                           static_cast<uint32_t>(issuer - issuers.begin()) } };
}

void
PermitRequester::OnReply(const PermitReply& aReply, Millis aNow)
{
  const auto it =
    std::find_if(mUpstreams.begin(), mUpstreams.end(), [&](const auto& aEntry) {
      return aEntry.second.mNumber == aReply.mNumber &&
             aEntry.second.mState == PermitState::Requested;
    });
  if (it == mUpstreams.end() ||
      aNow - it->second.mRequestedAt >= mOptions.mReplyTimeout) {
    return;
  }
  UpstreamPermits& permits = it->second;
  mSilent.erase(permits.mIssuer);
  const bool granted = aReply.mGranted > 0;
  permits.mState = granted ? PermitState::Granted : PermitState::Denied;
  permits.mUntil = aNow + (granted ? mOptions.mGrantLifetime : aReply.mWait);
  permits.mRemaining = aReply.mGranted;
  permits.mFromUrgency = aReply.mFromUrgency;
}

void
PermitRequester::Use(const UpstreamId& aUpstream)
{
  UpstreamPermits& permits = mUpstreams[aUpstream];
  permits.mUsed++;
  permits.mRemaining = std::max(permits.mRemaining, 1U) - 1;
  if (permits.mRemaining == 0) {
    permits.mState = PermitState::NotRequested;
  }
}

Millis
PermitRequester::WaitFor(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow) const
{
  const auto it = mUpstreams.find(aUpstream);
  const bool denied = it != mUpstreams.end() &&
                      it->second.mState == PermitState::Denied &&
                      aUrgency >= it->second.mFromUrgency;
  return denied ? std::max(Millis(0), it->second.mUntil - aNow) : Millis(0);
}

uint64_t
PermitRequester::Used(const UpstreamId& aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? 0 : it->second.mUsed;
}

std::vector<std::string>
PermitRequester::IssuersOf(const UpstreamId& aUpstream) const
{
  std::vector<std::pair<uint64_t, std::string>> byWeight;
  byWeight.reserve(mOthers.size() + 1);
  byWeight.emplace_back(WeightOf(mOwn, aUpstream), mOwn);
  for (const std::string& each : mOthers) {
    byWeight.emplace_back(WeightOf(each, aUpstream), each);
  }
  std::sort(byWeight.begin(), byWeight.end(), std::greater<>());
  std::vector<std::string> issuers;
  issuers.reserve(byWeight.size());
  for (auto& [weight, address] : byWeight) {
    issuers.push_back(std::move(address));
  }
  return issuers;
}

} // namespace trefoilarch
