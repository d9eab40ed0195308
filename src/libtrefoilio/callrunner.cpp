#include "callrunner.h"

#include "outgoingrequest.h"

#include "libtrefoilgate/bootclock.h"
#include "libtrefoilgate/connectionpool.h"
#include "libtrefoilgate/looptimer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoilio {

namespace asio = boost::asio;
using trefoilarch::Millis;
using trefoilgate::CallHandlers;
using trefoilgate::ConnectionPool;
using trefoilgate::KeepaliveOptions;
using trefoilgate::UpstreamAnswer;

namespace {

constexpr Millis kMaxIdleTime{ 3000 };
constexpr Millis kSweepInterval{ 1000 };
/** To each endpoint. */
constexpr size_t kMaxIdleConnections = 64;

/** A peer that reads slowly is bounded by the callers' deadlines instead. */
constexpr KeepaliveOptions kKeepalive{ .mUserTimeout = Millis(0),
                                       .mKeepaliveIdleSeconds = 1,
                                       .mKeepaliveProbes = 9 };

} // namespace

class CallRunner::Impl
{
public:
  explicit Impl(CallRunnerOptions aOptions)
    : mOptions(aOptions)
    , mPool(mLoop,
            { .mConnectTimeout = Millis(aOptions.mConnectMillis),
              .mMaxIdleTime = kMaxIdleTime,
              .mKeepalive = kKeepalive })
    , mSweepTimer(mLoop)
    , mWork(asio::make_work_guard(mLoop))
  {
    SweepLater();
    mThread = std::thread([this] { mLoop.run(); });
  }

  ~Impl()
  {
    mLoop.stop();
    mThread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  uint64_t Start(HttpRequest aRequest, CallHooks aHooks)
  {
    const uint64_t id = ++mLastId;
    asio::post(
      mLoop,
      [this,
       id,
       call = Call{ std::move(aRequest), std::move(aHooks) }]() mutable {
        mCalls.emplace(id, std::move(call));
        mWaiting.push_back(id);
        StartWaiting();
      });
    return id;
  }

  void Cancel(uint64_t aCall)
  {
    {
      const std::lock_guard lock(mMutex);
      mPendingCancels.push_back(aCall);
    }
    asio::post(mLoop, [this, aCall] {
      Remove(aCall);
      const std::lock_guard lock(mMutex);
      std::erase(mPendingCancels, aCall);
    });
  }

private:
  struct Call
  {
    HttpRequest mRequest;
    CallHooks mHooks;
    std::string mEndpoint{};
    /** Null until the call is sent. */
    ConnectionPool::Connection mConnection{};
    /** Counts towards the limit of connections. */
    bool mActive = false;
  };

  void SweepLater()
  {
    trefoilgate::RunAfter(mSweepTimer, kSweepInterval, [this] {
      mPool.Sweep([](const std::string&) { return true; },
                  [](const std::string&) { return kMaxIdleConnections; },
                  trefoilgate::BootNow());
      SweepLater();
    });
  }

  void StartWaiting()
  {
    while (!mWaiting.empty() && mActive < mOptions.mMaxConnections) {
      const uint64_t id = mWaiting.front();
      mWaiting.pop_front();
      Connect(id);
    }
  }

  void Connect(uint64_t aId)
  {
    const auto found = mCalls.find(aId);
    if (found == mCalls.end()) {
      return;
    }
    const auto outgoing = MakeOutgoing(std::move(found->second.mRequest));
    if (!outgoing) {
      End(aId, CallEnd::NeverSent);
      return;
    }
    found->second.mActive = true;
    found->second.mEndpoint = outgoing->mEndpoint;
    ++mActive;
    mPool.Acquire(
      outgoing->mEndpoint,
      outgoing->mEndpoint,
      [this, aId, outgoing](const ConnectionPool::Connection& aConnection) {
        OnConnection(aId, *outgoing, aConnection);
      });
  }

  void OnConnection(uint64_t aId,
                    const OutgoingRequest& aRequest,
                    const ConnectionPool::Connection& aConnection)
  {
    const auto found = mCalls.find(aId);
    if (found == mCalls.end()) {
      if (aConnection) {
        mPool.Release(aRequest.mEndpoint, aConnection);
      }
      return;
    }
    if (!aConnection) {
      End(aId, CallEnd::NeverSent);
      return;
    }
    found->second.mConnection = aConnection;
    aConnection->Send(aRequest.mCall, HandlersOf(aId, found->second.mHooks));
  }

  CallHandlers HandlersOf(uint64_t aId, const CallHooks& aHooks)
  {
    return { .mOnHead =
               [onHead = aHooks.mOnHead](const UpstreamAnswer& aAnswer) {
                 if (onHead) {
                   onHead(aAnswer.mStatus, HeadersOf(aAnswer));
                 }
               },
             .mOnData = aHooks.mOnData,
             .mOnEnd = [this, aId] { End(aId, CallEnd::Complete); },
             .mOnBroken =
               [this, aId](const std::string&) { End(aId, CallEnd::Broken); } };
  }

  void End(uint64_t aId, CallEnd aEnd)
  {
    const std::optional<Call> call = Remove(aId);
    if (call && call->mHooks.mOnEnd && !IsCancelPending(aId)) {
      call->mHooks.mOnEnd(aEnd);
    }
  }

  /** Removes a call; if it is in progress, this closes its connection. */
  std::optional<Call> Remove(uint64_t aId)
  {
    const auto found = mCalls.find(aId);
    if (found == mCalls.end()) {
      return std::nullopt;
    }
    Call call = std::move(found->second);
    mCalls.erase(found);
    if (call.mConnection && call.mConnection->Idle()) {
      mPool.Release(call.mEndpoint, call.mConnection);
    } else if (call.mConnection) {
      call.mConnection->Close();
    }
    if (call.mActive) {
      --mActive;
      asio::post(mLoop, [this] { StartWaiting(); });
    }
    return call;
  }

  bool IsCancelPending(uint64_t aId)
  {
    const std::lock_guard lock(mMutex);
    return std::ranges::find(mPendingCancels, aId) != mPendingCancels.end();
  }

  const CallRunnerOptions mOptions;
  std::atomic<uint64_t> mLastId = 0;
  std::mutex mMutex;
  std::vector<uint64_t> mPendingCancels;
  /** All below is accessed only by the runner's thread. */
  asio::io_context mLoop;
  ConnectionPool mPool;
  asio::steady_timer mSweepTimer;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::unordered_map<uint64_t, Call> mCalls;
  /** Calls beyond the limit of connections. */
  std::deque<uint64_t> mWaiting;
  size_t mActive = 0;
  std::thread mThread;
};

CallRunner::CallRunner(CallRunnerOptions aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

CallRunner::~CallRunner() = default;

uint64_t
CallRunner::Start(HttpRequest aRequest, CallHooks aHooks)
{
  return mImpl->Start(std::move(aRequest), std::move(aHooks));
}

void
CallRunner::Cancel(uint64_t aCall)
{
  mImpl->Cancel(aCall);
}

} // namespace trefoilio
