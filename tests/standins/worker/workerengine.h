#pragma once

#include "engine/batchmodel.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace standin {

/**
 * The model engine of a worker: steps a BatchModel in real time, so that
 * requests share its batch, key-value memory and prefix cache.
 */
class WorkerEngine
{
public:
  explicit WorkerEngine(BatchOptions aOptions);
  ~WorkerEngine();
  WorkerEngine(const WorkerEngine&) = delete;
  WorkerEngine& operator=(const WorkerEngine&) = delete;

  /** Queues a request under a new id and returns the id. */
  uint64_t Add(Sequence aSequence);
  /** Removes the request, finished or not. */
  void Remove(uint64_t aId);
  /** Waits until the request has aTokens output tokens or aMillis have
   * passed; returns its number of output tokens. */
  size_t AwaitTokens(uint64_t aId, size_t aTokens, int aMillis);
  /** `running`, `waiting`, `prefilled` (tokens) and `preempted`. */
  nlohmann::json Counts() const;

private:
  void StepUntilStopped();

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  BatchModel mBatch;
  std::map<uint64_t, size_t> mTokens;
  uint64_t mNextId = 1;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace standin
