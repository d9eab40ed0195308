#include "operatorclient.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace trefoilarchctl {

namespace {

/** Longer than a process takes to resolve a change with the platform. */
constexpr std::chrono::seconds kCallTimeout{ 15 };

/** A longer response is given up. */
constexpr size_t kMaxAnswerBytes = 67108864;

/** Collects a response on the call runner's thread. */
struct Collector
{
  void End(Answer::Kind aKind)
  {
    if (!std::exchange(mEnded, true)) {
      mAnswer.mKind = aKind;
      mDone.set_value(std::move(mAnswer));
    }
  }

  Answer mAnswer{};
  std::promise<Answer> mDone{};
  bool mEnded = false;
};

trefoilio::CallHooks
HooksFor(const std::shared_ptr<Collector>& aCollector)
{
  using trefoilio::CallEnd;
  trefoilio::CallHooks hooks;
  hooks.mOnHead = [aCollector](int aStatus, const trefoilio::HttpHeaders&) {
    aCollector->mAnswer.mStatus = aStatus;
  };
  hooks.mOnData = [aCollector](const std::string& aData) {
    std::string& body = aCollector->mAnswer.mBody;
    if (body.size() + aData.size() > kMaxAnswerBytes) {
      aCollector->End(Answer::Kind::Lost);
    } else {
      body += aData;
    }
  };
  hooks.mOnEnd = [aCollector](CallEnd aEnd) {
    aCollector->End(aEnd == CallEnd::Complete    ? Answer::Kind::Complete
                    : aEnd == CallEnd::NeverSent ? Answer::Kind::NeverSent
                                                 : Answer::Kind::Lost);
  };
  return hooks;
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> aBases)
  : mBases(std::move(aBases))
  , mRunner({})
{
}

Answer
OperatorClient::Get(const std::string& aPath)
{
  Answer last;
  for (const std::string& base : mBases) {
    last = Call("GET", base + aPath, "");
    if (last.mKind == Answer::Kind::Complete) {
      return last;
    }
  }
  return last;
}

Answer
OperatorClient::Post(const std::string& aPath, const std::string& aBody)
{
  for (const std::string& base : mBases) {
    Answer answer = Call("POST", base + aPath, aBody);
    if (answer.mKind != Answer::Kind::NeverSent) {
      return answer;
    }
  }
  return {};
}

Answer
OperatorClient::Call(const std::string& aMethod,
                     const std::string& aUrl,
                     const std::string& aBody)
{
  const auto collector = std::make_shared<Collector>();
  std::future<Answer> done = collector->mDone.get_future();
  trefoilio::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aUrl;
  request.mBody = aBody;
  if (!aBody.empty()) {
    request.mHeaders = { { "Content-Type", "application/json" } };
  }
  const uint64_t call = mRunner.Start(std::move(request), HooksFor(collector));
  const bool ended = done.wait_for(kCallTimeout) == std::future_status::ready;
  // It goes on if the response is too long.
  mRunner.Cancel(call);
  return ended ? done.get() : Answer{ .mKind = Answer::Kind::Lost };
}

} // namespace trefoilarchctl
