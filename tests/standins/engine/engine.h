#pragma once

#include "batchmodel.h"
#include "loadreports.h"
#include "orders.h"

#include "common/completiontext.h"
#include "common/executionlog.h"
#include "common/standinserver.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <unordered_map>

namespace standin {

/** What an engine stand-in is told at its start. */
struct EngineOptions
{
  std::string mModel = "base";
  std::string mRecordFile; /**< of ExecutionLog */
  bool mRefusesOldFencing = true;
  int64_t mReportLag = 0;   /**< milliseconds */
  int64_t mOrderMillis = 0; /**< how long an order takes */
  BatchOptions mBatch;
};

/**
 * An OpenAI-compatible model engine that makes up its answers: timing by
 * BatchModel, text by AnswerTo(). One thread steps the batch; each request
 * waits for its tokens on its connection's thread.
 */
class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  /** Answers one request; called on the connection's thread. */
  void Handle(Exchange& aExchange);

private:
  /** A request that is waiting for its tokens. */
  struct Pending
  {
    size_t mExecution = 0;
    size_t mReady = 0; /**< tokens generated so far */
  };
  struct Completion;

  void RunBatch();
  void Deliver(const BatchStep& aStep);

  void HandleCompletion(Exchange& aExchange);
  void Generate(Exchange& aExchange, const nlohmann::json& aBody);
  /** A stalled engine says nothing, not even a head; false: client left. */
  bool AwaitUnstalled(const Completion& aCompletion);
  /** False where the client left or the engine was told to crash. */
  bool SendTokens(Completion& aCompletion);
  bool SendReady(Completion& aCompletion, size_t aReady);
  /** Waits for a token or a moment; the tokens that are ready. */
  size_t AwaitTokens(uint64_t aId, size_t aSeen);
  bool TakeCrash(size_t aTokens);
  void Forget(uint64_t aId);

  void HandleOrder(Exchange& aExchange, const std::string& aOrder);
  void HandleControl(Exchange& aExchange);

  EngineOptions mOptions;
  ExecutionLog mExecutions;
  LoadReports mReports;
  Orders mOrders;

  std::mutex mMutex;
  std::condition_variable mChanged;
  BatchModel mBatch;
  std::unordered_map<uint64_t, Pending> mPending;
  uint64_t mNextId = 1;
  double mSlow = 1;
  bool mStalled = false;
  size_t mCrashAfter = 0;       /**< tokens; 0: no crash is ordered */
  std::atomic<int> mRefuse = 0; /**< status for new requests; 0: none */
};

} // namespace standin
