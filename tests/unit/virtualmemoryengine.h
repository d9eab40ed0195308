#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

/** A request in virtual time. */
struct VirtualRequest
{
  size_t mNumber = 0;
  size_t mRoute = 0;
  size_t mEntry = 0;
  uint8_t mTier = 0;
  /** A shared segment, and tokens of the prompt without it. */
  uint64_t mSegment = 0;
  int64_t mShared = 0;
  int64_t mPrompt = 0;
  /** The length of the answer and how much of it has come. */
  int64_t mOutput = 0;
  int64_t mSoFar = 0;
  /** Prompt tokens that the engine still has to read. */
  int64_t mToRead = 0;
  int64_t mArrivedMs = 0;
  bool mDelayed = false;
};

/** A model engine that only holds memory: it keeps shared segments once, reads
 * prompts, adds tokens, and preempts the newest of the least urgent requests
 * when its memory runs out. */
class VirtualMemoryEngine
{
public:
  static constexpr int64_t kCapacity = 178962;
  static constexpr size_t kSlots = 128;
  /** Four steps, which produce one event of a stream. */
  static constexpr int64_t kEventMs = 25;
  static constexpr int64_t kTokensPerEvent = 4;
  static constexpr int64_t kReadPerEvent = 810;

  /** What the running requests hold; with aQueued, also what the waiting ones
   * need to start. */
  int64_t Held(bool aQueued) const
  {
    std::set<uint64_t> segments;
    int64_t tokens = 0;
    const auto add = [&](const VirtualRequest* aEach) {
      const bool first = segments.insert(aEach->mSegment).second;
      tokens += (first ? aEach->mShared : 0) + aEach->mPrompt + aEach->mSoFar;
    };
    std::ranges::for_each(mRunning, add);
    if (aQueued) {
      std::ranges::for_each(mQueue, add);
    }
    return tokens;
  }
  /** What the request needs to start. */
  int64_t Added(const VirtualRequest& aRequest) const
  {
    const auto shares = [&](const VirtualRequest* aEach) {
      return aEach->mSegment == aRequest.mSegment;
    };
    const bool kept = std::ranges::any_of(mRunning, shares) ||
                      std::ranges::any_of(mQueue, shares);
    return aRequest.mPrompt + (kept ? 0 : aRequest.mShared);
  }
  size_t Requests() const { return mRunning.size() + mQueue.size(); }

  void Send(VirtualRequest& aRequest)
  {
    aRequest.mToRead = Added(aRequest);
    mQueue.push_back(&aRequest);
  }
  void Abort(size_t aEntry)
  {
    const auto isOf = [&](const VirtualRequest* aEach) {
      return aEach->mEntry == aEntry;
    };
    std::erase_if(mRunning, isOf);
    std::erase_if(mQueue, isOf);
  }

  /** Calls aOnEvent(request) after each event. */
  template<typename OnEvent>
  void Step(const OnEvent& aOnEvent)
  {
    Start();
    int64_t budget = kReadPerEvent;
    std::vector<VirtualRequest*> ended;
    for (VirtualRequest* each : mRunning) {
      const int64_t read = std::min(budget, each->mToRead);
      each->mToRead -= read;
      budget -= read;
      if (each->mToRead > 0) {
        continue;
      }
      each->mSoFar = std::min(each->mSoFar + kTokensPerEvent, each->mOutput);
      aOnEvent(*each);
    }
    std::erase_if(mRunning, [](const VirtualRequest* aEach) {
      return aEach->mSoFar == aEach->mOutput;
    });
    while (Held(false) > kCapacity) {
      Preempt();
    }
  }

  int64_t mPreempted = 0;
  int64_t mUrgentPreempted = 0;

private:
  void Start()
  {
    std::ranges::stable_sort(mQueue, {}, &VirtualRequest::mTier);
    while (!mQueue.empty() && mRunning.size() < kSlots) {
      mRunning.push_back(mQueue.front());
      if (Held(false) > kCapacity) {
        mRunning.pop_back();
        break;
      }
      mQueue.pop_front();
    }
    std::ranges::stable_sort(mRunning, {}, &VirtualRequest::mTier);
  }
  void Preempt()
  {
    VirtualRequest* last = mRunning.back();
    mRunning.pop_back();
    ++mPreempted;
    mUrgentPreempted += last->mTier == 0 ? 1 : 0;
    last->mToRead = last->mPrompt + last->mSoFar;
    mQueue.push_front(last);
  }

  /** By tier, then by time. */
  std::vector<VirtualRequest*> mRunning;
  std::deque<VirtualRequest*> mQueue;
};
