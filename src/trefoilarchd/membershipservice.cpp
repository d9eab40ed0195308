#include "membershipservice.h"

#include "libtrefoilarch/subset.h"
#include "libtrefoilio/logs.h"
#include "libtrefoilio/systemclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int64_t kMillisPerSecond = 1000;

constexpr unsigned kMaxDoublings = 10;

} // namespace

MembershipService::MembershipService(MembershipServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.mSeed))
  , mView(mOptions.mView)
{
}

MembershipService::~MembershipService()
{
  Stop();
}

void
MembershipService::Start(trefoilio::Kernel& /*aKernel*/)
{
  mThread = std::thread([this] { Run(); });
}

void
MembershipService::Stop()
{
  mStopSignal.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::string
MembershipService::DumpState() const
{
  std::lock_guard lock(mMutex);
  const auto leaving =
    std::count_if(mCurrent.mSidecars.begin(),
                  mCurrent.mSidecars.end(),
                  [](const SidecarMember& aOne) { return aOne.mLeaving; });
  return nlohmann::json{
    { "known", mLoaded },
    { "sidecars", mCurrent.mSidecars.size() },
    { "sidecars_listed", mView.Current().mSidecars.size() },
    { "hosts_missing", mView.Missing() },
    { "sidecars_leaving", leaving },
    { "entries", mCurrent.mEntries.size() },
    { "failed_polls_in_a_row", mFailures },
  }
    .dump();
}

Membership
MembershipService::Current() const
{
  std::lock_guard lock(mMutex);
  return mCurrent;
}

bool
MembershipService::IsLoaded() const
{
  std::lock_guard lock(mMutex);
  return mLoaded;
}

void
MembershipService::Run()
{
  if (!mOptions.mPlatform) {
    Publish(mOptions.mFixed);
    return;
  }
  while (!mStopSignal.Closed()) {
    Poll();
    mStopSignal.PopFor(NextPollDelay());
  }
}

void
MembershipService::Poll()
{
  const auto found = mOptions.mPlatform->ReadHosts(mTag);
  Membership chosen;
  bool changed = false;
  {
    std::lock_guard lock(mMutex);
    mFailures = found ? 0 : mFailures + 1;
    if (found) {
      Store(*found);
      chosen = mView.OnList(mLastList, trefoilio::MonotonicNow());
      chosen.mSidecars =
        ChooseSubset(mOptions.mEntry, chosen.mSidecars, mOptions.mSubsetSize);
      changed = !mLoaded || chosen != mCurrent;
    }
  }
  if (changed) {
    Publish(chosen);
  }
}

void
MembershipService::Store(const HostListResult& aRead)
{
  mTag = aRead.mTag;
  if (aRead.mMembership) {
    mLastList = *aRead.mMembership;
    mListBytes = aRead.mBytes;
  }
}

void
MembershipService::Publish(const Membership& aMembership)
{
  {
    std::lock_guard lock(mMutex);
    mCurrent = aMembership;
    mLoaded = true;
  }
  trefoilio::LogState(
    trefoilio::LogLevel::Info,
    "membership_changed",
    { { "sidecars", std::to_string(aMembership.mSidecars.size()) },
      { "entries", std::to_string(aMembership.mEntries.size()) } });
  for (const OnMembership& hook : mHooks) {
    hook(aMembership);
  }
}

/** Returns 3/4 to 5/4 of the mean; the mean is longer in an outage. */
Millis
MembershipService::NextPollDelay()
{
  std::lock_guard lock(mMutex);
  const int64_t factor = int64_t{ 1 } << std::min(mFailures, kMaxDoublings);
  const int64_t entries = static_cast<int64_t>(mCurrent.mEntries.size());
  const Millis interval =
    std::max(mOptions.mPollInterval, mOptions.mPollIntervalPerEntry * entries);
  const int64_t bytes = mTag.empty() ? static_cast<int64_t>(mListBytes) : 0;
  const Millis rateLimited(kMillisPerSecond * bytes /
                           mOptions.mListBytesPerSecond);
  const Millis mean = std::max(
    rateLimited, std::min(interval * factor, mOptions.mMaxPollInterval));
  std::uniform_int_distribution<int64_t> jitter(mean.Count() * 3 / 4,
                                                mean.Count() * 5 / 4);
  return Millis(jitter(mRandom));
}

} // namespace trefoilarch
