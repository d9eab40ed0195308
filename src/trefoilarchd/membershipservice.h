#pragma once

#include "platformclient.h"

#include "libtrefoilarch/membership.h"
#include "libtrefoilarch/membershipview.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace trefoilarch {

struct MembershipServiceOptions
{
  /** Null if the membership is fixed to mFixed. */
  std::shared_ptr<const PlatformClient> mPlatform;
  Membership mFixed;
  Millis mPollInterval{ 1000 };
  /** Minimum per listed entry, to bound the platform's total read rate. */
  Millis mPollIntervalPerEntry{ 5 };
  Millis mMaxPollInterval{ 8000 }; /**< between polls in an outage */
  /** Maximum bytes per second for lists that each poll transfers in full. */
  int64_t mListBytesPerSecond = 4096;
  MembershipViewOptions mView;
  /** This entry's name, and the number of sidecars of each model or service
   * that it connects to; 0: all. */
  std::string mEntry;
  size_t mSubsetSize = 0;
  uint64_t mSeed = 1;
};

/** Follows the platform's host list on a thread of its own. */
class MembershipService final : public trefoilio::Service
{
public:
  using OnMembership = std::function<void(const Membership&)>;

  explicit MembershipService(MembershipServiceOptions aOptions);
  ~MembershipService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** Adds a hook that the membership thread calls with the first list and on
   * each change; call before Start. */
  void Subscribe(OnMembership aHook) { mHooks.push_back(std::move(aHook)); }
  /** Returns the subset's sidecars and all entries. */
  Membership Current() const;
  /** Whether a list has been read or is fixed. */
  bool IsLoaded() const;

private:
  void Run();
  void Poll();
  /** Stores the result of a read; called under the lock. */
  void Store(const HostListResult& aRead);
  void Publish(const Membership& aMembership);
  Millis NextPollDelay();

  MembershipServiceOptions mOptions;
  std::vector<OnMembership> mHooks;
  std::minstd_rand mRandom;
  MembershipView mView;
  mutable std::mutex mMutex;
  Membership mCurrent;
  bool mLoaded = false;
  /** The list as last read, and its tag if it has one. */
  Membership mLastList;
  std::string mTag;
  size_t mListBytes = 0;
  unsigned mFailures = 0;
  /** Always empty; closing it ends the wait between two polls. */
  trefoilio::BoundedRing<bool> mStopSignal{ 1 };
  std::thread mThread;
};

} // namespace trefoilarch
