#pragma once

#include "answerbudget.h"
#include "callerrequest.h"
#include "claimgate.h"

#include "libtrefoilarch/classifier.h"
#include "libtrefoilio/httpserver.h"
#include "libtrefoilio/metrics.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace trefoilarch {

class RouterService;

struct CallerOptions
{
  trefoilio::HttpServerOptions mHttp;
  std::string mDataCentre;
  size_t mMaxOpen = 1000;
  /** Response bytes buffered for a caller that reads slowly. */
  size_t mMaxUnreadBytes = 8 * 1024 * 1024;
  /** Response bytes held for all callers. */
  size_t mMaxAnswerBytes = 64 * 1024 * 1024;
  /** Returns the current classifier, or null if there is none yet. */
  std::function<std::shared_ptr<const Classifier>()> mClassifier;
};

/** Serves the callers' HTTP port: reads requests and writes responses. */
class CallerService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "callers";

  CallerService(CallerOptions aOptions, trefoilio::Metrics& aMetrics);
  ~CallerService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** Returns the bound `ADDRESS:PORT`. */
  std::string Address() const;

  /** Rejects new requests with ShuttingDown from now on. */
  void Drain() { mDraining = true; }
  size_t OpenRequests() const { return mOpenRequests; }

private:
  class OpenCount;

  trefoilio::HttpReply Handle(const trefoilio::HttpRequest& aHttp);
  Result<trefoilio::HttpReply> Route(const trefoilio::HttpRequest& aHttp,
                                     const RequestId& aId);
  Result<trefoilio::HttpReply> Models(const trefoilio::HttpRequest& aHttp,
                                      const RequestId& aId);
  Result<trefoilio::HttpReply> Run(CallerRequest aRequest,
                                   const trefoilio::HttpRequest& aHttp,
                                   const RequestId& aId);
  Result<std::shared_ptr<const Classifier>> CurrentPolicyClassifier() const;
  /** Submits the request to the router and waits for the response's head. */
  Result<trefoilio::HttpReply> Submit(
    CallerRequest aRequest,
    ClassifiedRequest aClassified,
    const std::shared_ptr<ClaimTracker>& aClaim,
    const trefoilio::HttpRequest& aHttp,
    const RequestId& aId,
    Millis aArrived);
  trefoilio::HttpReply Refuse(const Refusal& aRefusal, const RequestId& aId);
  trefoilio::HttpReply RefuseBadInput(trefoilio::BadInput aInput);
  RequestId RandomId();

  CallerOptions mOptions;
  trefoilio::Metrics& mMetrics;
  const std::shared_ptr<AnswerBudget> mAnswerBudget;
  RouterService* mRouter = nullptr;
  std::optional<ClaimGate> mClaimGate;
  std::atomic<bool> mDraining = false;
  std::atomic<size_t> mOpenRequests = 0;
  std::mutex mRandomMutex;
  std::mt19937_64 mRandom;
  std::unique_ptr<trefoilio::HttpServer> mServer;
};

} // namespace trefoilarch
