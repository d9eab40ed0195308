#include "workerengine.h"

#include <chrono>

namespace standin {

WorkerEngine::WorkerEngine(BatchOptions aOptions)
  : mBatch(aOptions)
  , mThread([this] { StepUntilStopped(); })
{
}

WorkerEngine::~WorkerEngine()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mThread.join();
}

uint64_t
WorkerEngine::Add(Sequence aSequence)
{
  const std::lock_guard lock(mMutex);
  const uint64_t id = mNextId++;
  aSequence.mId = id;
  mTokens[id] = 0;
  mBatch.Add(std::move(aSequence));
  mChanged.notify_all();
  return id;
}

void
WorkerEngine::Remove(uint64_t aId)
{
  const std::lock_guard lock(mMutex);
  mBatch.Remove(aId);
  mTokens.erase(aId);
}

size_t
WorkerEngine::AwaitTokens(uint64_t aId, size_t aTokens, int aMillis)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, std::chrono::milliseconds(aMillis), [&] {
    return mTokens[aId] >= aTokens;
  });
  return mTokens[aId];
}

nlohmann::json
WorkerEngine::Counts() const
{
  const std::lock_guard lock(mMutex);
  return { { "running", mBatch.Running() },
           { "waiting", mBatch.Waiting() },
           { "prefilled", mBatch.PrefilledTokens() },
           { "preempted", mBatch.Preempted() } };
}

void
WorkerEngine::StepUntilStopped()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    if (mBatch.Idle()) {
      mChanged.wait(lock);
      continue;
    }
    const BatchStep step = mBatch.Step();
    lock.unlock();
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(step.mMillis));
    lock.lock();
    for (const uint64_t id : step.mTokens) {
      const auto tokens = mTokens.find(id);
      if (tokens != mTokens.end()) {
        tokens->second++;
      }
    }
    mChanged.notify_all();
  }
}

} // namespace standin
