#include "callerservice.h"

#include "answerreader.h"
#include "answerwriter.h"
#include "claimservice.h"
#include "claimtracker.h"
#include "endpoint.h"
#include "refusalreply.h"
#include "routerservice.h"

#include "libtrefoilio/kernel.h"
#include "libtrefoilio/systemclock.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace trefoilarch {

using trefoilio::HttpReply;
using trefoilio::HttpRequest;

namespace {

constexpr Millis kRetryAfter{ 1000 };
constexpr const char* kModelsPath = "/v1/models";

std::string
PathOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

Refusal
RefusalFor(trefoilio::BadInput aInput)
{
  switch (aInput) {
    case trefoilio::BadInput::BodyTooLarge:
      return Refusal{ .mKind = ErrorKind::BodyTooLarge };
    case trefoilio::BadInput::HeaderTooLarge:
      return Refusal{ .mKind = ErrorKind::HeaderTooLarge };
    case trefoilio::BadInput::SlowSender:
      return Refusal{ .mKind = ErrorKind::SlowSender };
    case trefoilio::BadInput::TooManyConnections:
    case trefoilio::BadInput::NoMemory:
      return Refusal{ .mKind = ErrorKind::TooManyOpen,
                      .mRetryAfter = kRetryAfter };
    case trefoilio::BadInput::Malformed:
      break;
  }
  return Refusal{ .mKind = ErrorKind::InvalidRequest };
}

} // namespace

/** Counts a request as open until its response is closed. */
class CallerService::OpenCount
{
public:
  explicit OpenCount(std::atomic<size_t>& aCount)
    : mCount(aCount)
    , mPreviousCount(aCount.fetch_add(1))
  {
  }
  ~OpenCount() { mCount.fetch_sub(1); }
  OpenCount(const OpenCount&) = delete;
  OpenCount& operator=(const OpenCount&) = delete;

  size_t PreviousCount() const { return mPreviousCount; }

private:
  std::atomic<size_t>& mCount;
  size_t mPreviousCount;
};

CallerService::CallerService(CallerOptions aOptions,
                             trefoilio::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mAnswerBudget(std::make_shared<AnswerBudget>(mOptions.mMaxAnswerBytes))
{
  std::random_device seed;
  std::seed_seq sequence{ seed(), seed(), seed(), seed() };
  mRandom.seed(sequence);
}

CallerService::~CallerService()
{
  Stop();
}

void
CallerService::Start(trefoilio::Kernel& aKernel)
{
  mRouter = &aKernel.Find<RouterService>(RouterService::kName);
  mClaimGate.emplace(aKernel.Find<ClaimService>(ClaimService::kName));
  mServer = std::make_unique<trefoilio::HttpServer>(
    mOptions.mHttp,
    [this](const HttpRequest& aHttp) { return Handle(aHttp); },
    [this](trefoilio::BadInput aInput) { return RefuseBadInput(aInput); });
}

void
CallerService::Stop()
{
  mDraining = true;
  mServer.reset();
}

std::string
CallerService::DumpState() const
{
  return nlohmann::json{
    { "open", mOpenRequests.load() }, { "draining", mDraining.load() }
  }.dump();
}

std::string
CallerService::Address() const
{
  return Endpoint{ mOptions.mHttp.mAddress, mServer->Port() }.Text();
}

RequestId
CallerService::RandomId()
{
  const std::lock_guard lock(mRandomMutex);
  return RequestId{ mRandom(), mRandom() };
}

HttpReply
CallerService::Refuse(const Refusal& aRefusal, const RequestId& aId)
{
  mMetrics.Count("requests_refused_total",
                 "kind=\"" + std::string(Name(aRefusal.mKind)) + "\"");
  return RefusalReply(aRefusal, aId);
}

HttpReply
CallerService::RefuseBadInput(trefoilio::BadInput aInput)
{
  return Refuse(RefusalFor(aInput), RandomId());
}

HttpReply
CallerService::Handle(const HttpRequest& aHttp)
{
  const RequestId id = RandomId();
  return boost::leaf::try_handle_all(
    [&]() -> Result<HttpReply> { return Route(aHttp, id); },
    [&](const Refusal& aRefusal) { return Refuse(aRefusal, id); },
    [&] { return Refuse(Refusal{ .mRan = Ran::Maybe }, id); });
}

Result<HttpReply>
CallerService::Route(const HttpRequest& aHttp, const RequestId& aId)
{
  const std::string path = PathOf(aHttp.mTarget);
  if (mDraining) {
    return Fail(
      Refusal{ .mKind = ErrorKind::ShuttingDown, .mRetryAfter = kRetryAfter });
  }
  if (path == kModelsPath && aHttp.mMethod == "GET") {
    return Models(aHttp, aId);
  }
  if (path == kChatPath && aHttp.mMethod == "POST") {
    BOOST_LEAF_AUTO(request, ReadChat(aHttp, mOptions.mDataCentre));
    return Run(std::move(request), aHttp, aId);
  }
  if (path.rfind(kServicePrefix, 0) == 0) {
    BOOST_LEAF_AUTO(request, ReadServiceCall(aHttp, mOptions.mDataCentre));
    return Run(std::move(request), aHttp, aId);
  }
  return Fail(Refusal{ .mKind = ErrorKind::InvalidRequest,
                       .mMessage = "no such method and path" });
}

Result<std::shared_ptr<const Classifier>>
CallerService::CurrentPolicyClassifier() const
{
  auto classifier = mOptions.mClassifier();
  if (!classifier || classifier->CurrentPolicy().mVersion == 0) {
    return Fail(
      Refusal{ .mKind = ErrorKind::PolicyUnknown, .mRetryAfter = kRetryAfter });
  }
  return classifier;
}

Result<HttpReply>
CallerService::Models(const HttpRequest& aHttp, const RequestId& aId)
{
  BOOST_LEAF_AUTO(claims, ReadClaims(aHttp, mOptions.mDataCentre));
  BOOST_LEAF_AUTO(classifier, CurrentPolicyClassifier());
  claims.mRequestedClass.clear();
  BOOST_LEAF_CHECK(classifier->Classify(claims));
  nlohmann::ordered_json list = { { "object", "list" },
                                  { "data", nlohmann::json::array() } };
  for (const std::string& model : mRouter->Models()) {
    list["data"].push_back({ { "id", model },
                             { "object", "model" },
                             { "owned_by", "trefoilarch" } });
  }
  HttpReply reply;
  reply.mHeaders = { { "Content-Type", "application/json" },
                     { kRequestIdHeader, aId.Text() } };
  reply.mBody = list.dump();
  return reply;
}

Result<HttpReply>
CallerService::Run(CallerRequest aRequest,
                   const HttpRequest& aHttp,
                   const RequestId& aId)
{
  const Millis arrived = trefoilio::MonotonicNow();
  auto open = std::make_shared<OpenCount>(mOpenRequests);
  if (open->PreviousCount() >= mOptions.mMaxOpen) {
    return Fail(
      Refusal{ .mKind = ErrorKind::TooManyOpen, .mRetryAfter = kRetryAfter });
  }
  BOOST_LEAF_AUTO(classifier, CurrentPolicyClassifier());
  BOOST_LEAF_AUTO(classified, classifier->Classify(aRequest.mClaims));
  BOOST_LEAF_AUTO(admission,
                  mClaimGate->Admit(aRequest, classified.mIdempotent, aId));
  if (admission.mRepeat) {
    mMetrics.Count("answers_repeated_total");
    return std::move(*admission.mRepeat);
  }
  BOOST_LEAF_AUTO(reply,
                  Submit(std::move(aRequest),
                         std::move(classified),
                         admission.mClaimTracker,
                         aHttp,
                         aId,
                         arrived));
  if (reply.mStream) {
    reply.mOnClosed = [open] {};
  }
  return reply;
}

Result<HttpReply>
CallerService::Submit(CallerRequest aRequest,
                      ClassifiedRequest aClassified,
                      const std::shared_ptr<ClaimTracker>& aClaim,
                      const HttpRequest& aHttp,
                      const RequestId& aId,
                      Millis aArrived)
{
  const ServiceLevel level = aClassified.mLevel;
  const AnswerTargets targets{ .mClass = level.mClass,
                               .mArrivedAt = aArrived,
                               .mFirstToken = level.mFirstTokenTarget,
                               .mBetweenToken = level.mBetweenTokenTarget,
                               .mDeadline = aClassified.mDeadline };
  aClassified.mDeadline -= trefoilio::MonotonicNow() - aArrived;
  const bool tokenStream = aRequest.mCall.mTokenStream;
  if (tokenStream) {
    SetPriority(aRequest.mCall, level.mTier);
  }
  auto mailbox =
    std::make_shared<AnswerMailbox>(mOptions.mMaxUnreadBytes, mAnswerBudget);
  EntryRequest request{ .mId = aId,
                        .mClassified = std::move(aClassified),
                        .mCall = std::move(aRequest.mCall),
                        .mPromptTokens = aRequest.mPromptTokens,
                        .mPrefixHash = aRequest.mPrefixHash,
                        .mMaxOutputTokens = aRequest.mMaxOutputTokens };
  if (!mRouter->Submit(std::move(request), mailbox, aClaim)) {
    const Refusal refusal{ .mKind = ErrorKind::TooManyOpen,
                           .mRetryAfter = kRetryAfter };
    if (aClaim) {
      aClaim->OnError(refusal);
    }
    return Fail(refusal);
  }
  AnswerWriter writer(
    std::make_shared<AnswerReader>(*mRouter, aId, mailbox, aHttp.mCallerLeft),
    targets,
    mMetrics);
  if (!tokenStream) {
    return writer.Plain();
  }
  return aRequest.mStreamed ? writer.Streamed() : writer.Assembled();
}

} // namespace trefoilarch
