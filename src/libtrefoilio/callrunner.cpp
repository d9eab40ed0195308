#include "callrunner.h"

#include "curlcall.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <vector>

namespace trefoilio {

namespace {

constexpr int kMaxPollMillis = 1000;
constexpr long kMaxIdleConnections = 64;

void
InitializeLibcurl()
{
  static std::once_flag sDone;
  std::call_once(sDone, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

/** Prevents a write to a reset connection from ending the process. */
void
BlockBrokenPipeSignal()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

struct MultiCleaner
{
  void operator()(CURLM* aMulti) const { curl_multi_cleanup(aMulti); }
};

} // namespace

class CallRunner::Impl
{
public:
  explicit Impl(CallRunnerOptions aOptions)
    : mOptions(aOptions)
  {
    InitializeLibcurl();
    mMulti.reset(curl_multi_init());
    if (!mMulti) {
      throw std::runtime_error("cannot initialize libcurl");
    }
    const auto maxConnections = static_cast<long>(mOptions.mMaxConnections);
    curl_multi_setopt(
      mMulti.get(), CURLMOPT_MAX_TOTAL_CONNECTIONS, maxConnections);
    curl_multi_setopt(mMulti.get(), CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(mMulti.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    mThread = std::thread([this] { Run(); });
  }

  ~Impl()
  {
    mStop = true;
    curl_multi_wakeup(mMulti.get());
    mThread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  uint64_t Start(HttpRequest aRequest, CallHooks aHooks)
  {
    const uint64_t id = ++mLastId;
    auto call = std::make_unique<CurlCall>(
      id, std::move(aRequest), std::move(aHooks), mOptions.mConnectMillis);
    {
      std::lock_guard lock(mMutex);
      mPendingStarts.push_back(std::move(call));
    }
    curl_multi_wakeup(mMulti.get());
    return id;
  }

  void Cancel(uint64_t aCall)
  {
    {
      std::lock_guard lock(mMutex);
      mPendingCancels.push_back(aCall);
    }
    curl_multi_wakeup(mMulti.get());
  }

private:
  void Run()
  {
    BlockBrokenPipeSignal();
    while (!mStop) {
      TakeCommands();
      int running = 0;
      curl_multi_perform(mMulti.get(), &running);
      FinishCompletedCalls();
      if (!HasPendingCommands()) {
        curl_multi_poll(mMulti.get(), nullptr, 0, kMaxPollMillis, nullptr);
      }
    }
    for (auto& [id, call] : mCalls) {
      curl_multi_remove_handle(mMulti.get(), call->Handle());
    }
    mCalls.clear();
  }

  bool HasPendingCommands()
  {
    std::lock_guard lock(mMutex);
    return !mPendingStarts.empty() || !mPendingCancels.empty();
  }

  void TakeCommands()
  {
    std::vector<std::unique_ptr<CurlCall>> starts;
    std::vector<uint64_t> cancels;
    {
      std::lock_guard lock(mMutex);
      starts.swap(mPendingStarts);
      cancels.swap(mPendingCancels);
    }
    for (auto& call : starts) {
      curl_multi_add_handle(mMulti.get(), call->Handle());
      mCalls.emplace(call->Id(), std::move(call));
    }
    for (const uint64_t id : cancels) {
      Remove(id);
    }
  }

  /** Removes a call; if it is in progress, this closes its connection. */
  std::unique_ptr<CurlCall> Remove(uint64_t aId)
  {
    const auto found = mCalls.find(aId);
    if (found == mCalls.end()) {
      return nullptr;
    }
    std::unique_ptr<CurlCall> call = std::move(found->second);
    mCalls.erase(found);
    curl_multi_remove_handle(mMulti.get(), call->Handle());
    return call;
  }

  void FinishCompletedCalls()
  {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(mMulti.get(), &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode result = message->data.result;
      CurlCall* completed = CurlCall::FromHandle(message->easy_handle);
      const auto call = Remove(completed->Id());
      if (call && !IsCancelPending(call->Id())) {
        call->Finish(result);
      }
    }
  }

  bool IsCancelPending(uint64_t aId)
  {
    std::lock_guard lock(mMutex);
    return std::ranges::find(mPendingCancels, aId) != mPendingCancels.end();
  }

  const CallRunnerOptions mOptions;
  std::unique_ptr<CURLM, MultiCleaner> mMulti;
  std::atomic<uint64_t> mLastId = 0;
  std::atomic<bool> mStop = false;
  std::mutex mMutex;
  std::vector<std::unique_ptr<CurlCall>> mPendingStarts;
  std::vector<uint64_t> mPendingCancels;
  /** Accessed only by the runner's thread. */
  std::unordered_map<uint64_t, std::unique_ptr<CurlCall>> mCalls;
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
