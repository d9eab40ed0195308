#include "callerservice.h"

#include "answerreader.h"
#include "answerwriter.h"
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

constexpr Millis kComeBackSoon{ 1000 };
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
      return Refusal{ .mKind = ErrorKind::TooManyOpen,
                      .mRetryAfter = kComeBackSoon };
    case trefoilio::BadInput::Malformed:
      break;
  }
  return Refusal{ .mKind = ErrorKind::InvalidRequest };
}

} // namespace

/** Counts a request as open as long as any part of its answer lives. */
class CallerService::OpenCount
{
public:
  explicit OpenCount(std::atomic<size_t>& aCount)
    : mCount(aCount)
    , mBefore(aCount.fetch_add(1))
  {
  }
  ~OpenCount() { mCount.fetch_sub(1); }
  OpenCount(const OpenCount&) = delete;
  OpenCount& operator=(const OpenCount&) = delete;

  size_t Before() const { return mBefore; }

private:
  std::atomic<size_t>& mCount;
  size_t mBefore;
};

CallerService::CallerService(CallerOptions aOptions,
                             trefoilio::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
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
    { "open", mOpen.load() }, { "draining", mDraining.load() }
  }.dump();
}

std::string
CallerService::Address() const
{
  return Endpoint{ mOptions.mHttp.mAddress, mServer->Port() }.Text();
}

RequestId
CallerService::DrawId()
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
  return Refuse(RefusalFor(aInput), DrawId());
}

HttpReply
CallerService::Handle(const HttpRequest& aHttp)
{
  const RequestId id = DrawId();
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
    return Fail(Refusal{ .mKind = ErrorKind::ShuttingDown,
                         .mRetryAfter = kComeBackSoon });
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
CallerService::PolicyInForce() const
{
  auto classifier = mOptions.mClassifier();
  if (!classifier || classifier->CurrentPolicy().mVersion == 0) {
    return Fail(Refusal{ .mKind = ErrorKind::PolicyUnknown,
                         .mRetryAfter = kComeBackSoon });
  }
  return classifier;
}

Result<HttpReply>
CallerService::Models(const HttpRequest& aHttp, const RequestId& aId)
{
  BOOST_LEAF_AUTO(claims, ReadClaims(aHttp, mOptions.mDataCentre));
  BOOST_LEAF_AUTO(classifier, PolicyInForce());
  claims.mWantedClass.clear();
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
  auto open = std::make_shared<OpenCount>(mOpen);
  if (open->Before() >= mOptions.mMostOpen) {
    return Fail(
      Refusal{ .mKind = ErrorKind::TooManyOpen, .mRetryAfter = kComeBackSoon });
  }
  BOOST_LEAF_AUTO(classifier, PolicyInForce());
  BOOST_LEAF_AUTO(classified, classifier->Classify(aRequest.mClaims));
  const ServiceLevel& level = classified.mLevel;
  const AnswerTargets targets{ .mClass = level.mClass,
                               .mArrived = arrived,
                               .mFirstToken = level.mFirstTokenTarget,
                               .mBetweenToken = level.mBetweenTokenTarget,
                               .mDeadline = classified.mDeadline };
  const bool tokens = aRequest.mCall.mTokenStream;
  const bool streamed = aRequest.mStreamed;
  if (tokens) {
    SetPriority(aRequest.mCall, level.mTier);
  }
  auto mailbox = std::make_shared<AnswerMailbox>(mOptions.mMostUnread);
  EntryRequest request{ .mId = aId,
                        .mClassified = std::move(classified),
                        .mCall = std::move(aRequest.mCall),
                        .mPromptTokens = aRequest.mPromptTokens,
                        .mPrefixHash = aRequest.mPrefixHash };
  if (!mRouter->Submit(std::move(request), mailbox)) {
    return Fail(
      Refusal{ .mKind = ErrorKind::TooManyOpen, .mRetryAfter = kComeBackSoon });
  }
  AnswerWriter writer(
    std::make_shared<AnswerReader>(*mRouter, aId, mailbox, aHttp.mCallerLeft),
    targets,
    mMetrics);
  HttpReply reply = !tokens    ? writer.Plain()
                    : streamed ? writer.Streamed()
                               : writer.Assembled();
  if (reply.mStream) {
    reply.mOnClosed = [open] {};
  }
  return reply;
}

} // namespace trefoilarch
