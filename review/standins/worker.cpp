#include "worker.h"

namespace review {

namespace {

constexpr Clock::duration kIdle = std::chrono::seconds(60);
constexpr Ms kRetry{ 100 };

std::string
Text(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

void
Runs::Add(Run aRun)
{
  const std::lock_guard lock(mMutex);
  mAll.push_back(std::move(aRun));
}

std::vector<Run>
Runs::All()
{
  const std::lock_guard lock(mMutex);
  return mAll;
}

Worker::Worker(WorkerOptions aOptions,
               Store& aStore,
               Runs& aRuns,
               Record& aRecord)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mRuns(aRuns)
  , mRecord(aRecord)
  , mServer(mOptions.mIp, [this](int aDescriptor) { Serve(aDescriptor); })
  , mBeats([this] { Beat(); })
{
}

Worker::~Worker()
{
  mStopping = true;
  mBeats.join();
}

void
Worker::Drain()
{
  mDraining = true;
}

std::string
Worker::Entry() const
{
  return nlohmann::json{
    { "service", mOptions.mService },
    { "address", mServer.Address() },
    { "zone", mOptions.mZone },
    { "version", "v1" },
    { "slots", mOptions.mSlots },
    { "state", mDraining ? "draining" : "ready" },
    { "coldRemainingMs", 0 },
    { "sequence", 1 }
  }.dump();
}

void
Worker::Beat()
{
  auto next = Clock::now();
  bool drained = false;
  while (!mStopping) {
    if (Clock::now() >= next || drained != mDraining) {
      drained = mDraining;
      const bool kept = mStore.Keep("servers", mOptions.mId, Entry());
      next = Clock::now() + (kept ? mOptions.mHeartbeat : kRetry);
    }
    std::this_thread::sleep_for(Ms(5));
  }
}

void
Worker::Serve(int aDescriptor)
{
  Reader reader(aDescriptor);
  while (const auto request = reader.Next(Clock::now() + kIdle)) {
    const std::string answer = Answer(*request);
    if (!SendAll(aDescriptor, answer)) {
      return;
    }
  }
}

std::string
Worker::Answer(const Message& aRequest)
{
  const std::string id = aRequest.Header("x-request-id");
  const std::string echo = "X-Request-Id: " + id + "\r\n";
  if (aRequest.Path() == "/healthz") {
    return Text(200, "X-Instance-Id: " + mOptions.mId + "\r\n", "");
  }
  const std::string expected = aRequest.Header("x-expect-instance");
  if (!expected.empty() && expected != mOptions.mId) {
    return Text(421, echo, "");
  }
  if (id.empty()) {
    return Text(400, "X-Not-Executed: 1\r\n", "");
  }
  const Run run{ .mRequest = id,
                 .mWorker = mOptions.mId,
                 .mTenant = aRequest.Header("x-tenant"),
                 .mBegan = Clock::now() };
  mRuns.Add(run);
  mRecord.Write("run " + id + " at " + run.mWorker + " tenant " + run.mTenant,
                run.mBegan);
  std::this_thread::sleep_for(mOptions.mWork);
  return Text(200,
              echo + "X-Response-Seal: s-" + id + "\r\nX-Instance-Load: 1,0," +
                std::to_string(mOptions.mSlots) + "\r\n",
              "done " + id);
}

} // namespace review
