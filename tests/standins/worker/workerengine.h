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
 * requests share its batch, its memory and what it has read before.
 */
class WorkerEngine
{
public:
  explicit WorkerEngine(BatchOptions aOptions);
  ~WorkerEngine();
  WorkerEngine(const WorkerEngine&) = delete;
  WorkerEngine& operator=(const WorkerEngine&) = delete;

  /** Queues a request, whose id is given by the engine, and returns that. */
  uint64_t Add(Sequence aSequence);
  /** Takes the request out. */
  void Remove(uint64_t aId);
  /** Waits until the request has so many output tokens, or for the span;
   * tells how many it has. */
  size_t AwaitTokens(uint64_t aId, size_t aTokens, int aMillis);
  /** `running`, `waiting`, `prefilled` (tokens) and `preempted`. */
  nlohmann::json Counts() const;

private:
  void Run();

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  BatchModel mBatch;
  std::map<uint64_t, size_t> mTokens;
  uint64_t mNextId = 1;
  bool mEnds = false;
  std::thread mThread;
};

} // namespace standin
