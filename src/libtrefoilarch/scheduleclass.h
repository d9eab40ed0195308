#pragma once

#include "millis.h"
#include "waitingrequest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace trefoilarch {

/**
 * The waiting requests of one class at one upstream, shared fairly by tokens
 * between its workspaces. Uses start-time fair queueing (Goyal, Vin and Cheng,
 * 1996), whose cost is logarithmic in the waiting workspaces.
 */
class ScheduleClass
{
public:
  void Add(const WaitingRequest& aRequest);
  void Remove(const WaitingRequest& aRequest);
  /** Moves a request behind those that can still be on time. */
  void MarkLate(WaitingRequest& aRequest);

  /** The class's next request, on time or late; null if there is none. */
  const WaitingRequest* Next(bool aLate) const;
  /** The next request, those on time first. */
  const WaitingRequest* Next() const;
  /** The latest arrival. */
  const WaitingRequest& LastArrival() const;

  /** Adds tokens to a workspace's account, or returns some if negative. */
  void Charge(const std::string& aWorkspace, int64_t aTokens);

  /** Tokens that start before a new request of the workspace does. */
  uint64_t TokensAhead(const std::string& aWorkspace,
                       double aWeight,
                       bool aLate) const;

  size_t Waiting() const { return mByArrival.size(); }
  uint64_t Tokens(bool aLate) const { return mTokens[aLate ? 1 : 0]; }

  double mFloor = 0;
  size_t mRunning = 0;
  /** Tokens of its floor starts in flight. */
  uint64_t mFloorTokens = 0;
  /** The count of regular starts at which a floor dispatch is due. */
  uint64_t mFloorDueAt = 0;
  /** Since when it has waited without a start. */
  Millis mWaitingSince;

private:
  struct Workspace
  {
    const std::string* mName = nullptr;
    uint64_t mOrder = 0; /**< breaks ties the same way in every run */
    double mWeight = 1;
    /** Tokens received per weight, on the class's virtual clock. */
    double mServed = 0;
    std::array<uint64_t, 2> mTokens{};
    std::array<UrgencyQueue, 2> mQueues{}; /**< on time, late */

    bool IsIdle() const { return mQueues[0].empty() && mQueues[1].empty(); }
  };

  struct ByServedShare
  {
    bool operator()(const Workspace* aLhs, const Workspace* aRhs) const
    {
      return std::tie(aLhs->mServed, aLhs->mOrder) <
             std::tie(aRhs->mServed, aRhs->mOrder);
    }
  };
  using ShareQueue = std::set<Workspace*, ByServedShare>;

  Workspace& WorkspaceOf(const ServiceLevel& aLevel);
  void AddTo(Workspace& aWorkspace, const WaitingRequest& aRequest);
  void RemoveFrom(Workspace& aWorkspace, const WaitingRequest& aRequest);
  /** Removes the workspace from, or adds it to, each queue it belongs to. */
  void Dequeue(Workspace& aWorkspace);
  void Enqueue(Workspace& aWorkspace);
  void EraseIdle();

  std::unordered_map<std::string, Workspace> mWorkspaces;
  /** Workspaces with requests, on time and late, least served first. */
  std::array<ShareQueue, 2> mFairQueues;
  /** Workspaces without requests that have had more than their share. */
  ShareQueue mIdle;
  std::map<uint64_t, const WaitingRequest*> mByArrival;
  double mVirtualTime = 0;
  double mWaitingWeight = 0;
  std::array<uint64_t, 2> mTokens{};
  uint64_t mNextOrder = 0;
};

} // namespace trefoilarch
