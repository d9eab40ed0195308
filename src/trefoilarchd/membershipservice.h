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
  /** Empty: mFixed is all there is. */
  std::shared_ptr<const PlatformClient> mPlatform;
  Membership mFixed;
  Millis mPollSpan{ 1000 };
  /** Added for each entry on the list, so that reads stay level. */
  Millis mPollSpanPerEntry{ 5 };
  Millis mMostPollSpan{ 8000 }; /**< between polls in an outage */
  /** Bytes a second that lists may take which come whole at each poll. */
  int64_t mListBytesPerSecond = 4096;
  MembershipViewOptions mView;
  /** This entry's name, and how many sidecars of each model or service it
   * connects to; 0: all of them. */
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

  /** Called at once at Start with the first list, and at each change, on the
   * membership thread; set before Start. */
  void Subscribe(OnMembership aHook) { mHooks.push_back(std::move(aHook)); }
  /** The subset's sidecars, and all entries. */
  Membership Current() const;
  /** A list was read, or it is fixed. */
  bool Known() const;

private:
  void Run();
  void Poll();
  /** Keeps what a read gave; under the lock. */
  void Take(const HostsRead& aRead);
  void Tell(const Membership& aMembership);
  Millis NextSpan();

  MembershipServiceOptions mOptions;
  std::vector<OnMembership> mHooks;
  std::minstd_rand mRandom;
  MembershipView mView;
  mutable std::mutex mMutex;
  Membership mCurrent;
  bool mKnown = false;
  /** The list as last read, and its tag where it has one. */
  Membership mLastList;
  std::string mTag;
  size_t mWholeListBytes = 0;
  unsigned mFailures = 0;
  /** Never filled: closing it ends the wait between two polls. */
  trefoilio::BoundedRing<bool> mStop{ 1 };
  std::thread mThread;
};

} // namespace trefoilarch
