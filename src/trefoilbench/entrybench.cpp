// Measures the entry's decisions in nanoseconds and allocated bytes, and the
// memory of its state.

#include "cost.h"

#include "libtrefoilarch/entrycore.h"

#include <cstdio>
#include <cstdlib>
#include <random>

namespace trefoilarch {

namespace {

using trefoilbench::Cost;

constexpr int kWarmUpSteps = 20000;
constexpr int kMeasuredSteps = 50000;

/** One entry with a fleet; its requests end immediately. */
class Bench
{
public:
  Bench(int aUpstreams, int aWorkspaces, int aOpen)
    : mInitialBytes(trefoilbench::LiveBytes())
    , mWorkspaceCount(aWorkspaces)
    , mCore({ .mEntry = "entry-1",
              .mDataCentre = "riga-1",
              .mMaxOpen = 1000000,
              .mRetryPercent = 10 })
  {
    auto policy = std::make_shared<Policy>();
    policy->mVersion = 1;
    policy->mSelectors["agents"] = {
      .mName = "agents",
      .mTraffic = { { "class",
                      RequirementOperator::In,
                      { "agents", "staff" } } },
      .mUpstreams = { { "data_centre", RequirementOperator::Exists, {} } }
    };
    mCore.SetClassifier(std::make_shared<const Classifier>(std::move(policy)));
    std::vector<UpstreamView> views;
    views.reserve(static_cast<size_t>(aUpstreams));
    for (int i = 0; i < aUpstreams; i++) {
      views.push_back({ .mName = "engine-" + std::to_string(i),
                        .mDataCentre = "riga-1",
                        .mLabels = {} });
    }
    mCore.SetUpstreams(views, {}, mNow);
    for (const UpstreamView& view : views) {
      mCore.OnChannelUp(view.mName, mNow);
      mCore.OnMessage(view.mName,
                      Welcome{ .mUpstream = view.mName,
                               .mIncarnation = 1,
                               .mDataCentre = "riga-1",
                               .mLabels = { { "model", "base" } },
                               .mPolicyVersion = 1,
                               .mLoad = { .mTokenCapacity = 16384 } },
                      mNow);
    }
    const int64_t idle = trefoilbench::LiveBytes();
    for (int i = 0; i < aOpen; i++) {
      mCore.OnRequest(NextRequest(), mNow);
    }
    std::printf(
      "  state      %7lld bytes for an upstream, %lld for an open "
      "request\n",
      static_cast<long long>((idle - mInitialBytes) / aUpstreams),
      static_cast<long long>((trefoilbench::LiveBytes() - idle) / aOpen));
  }

  void Run()
  {
    for (int i = 0; i < kWarmUpSteps; i++) {
      RunStep();
    }
    mRequest = mGrant = mAnswer = Cost();
    for (int i = 0; i < kMeasuredSteps; i++) {
      RunStep();
    }
    mRequest.Print("request");
    mGrant.Print("grant");
    mAnswer.Print("answer");
  }

private:
  EntryRequest NextRequest()
  {
    mRequestNumber++;
    EntryRequest request;
    request.mId = { mRandom(), mRandom() };
    ClassifiedRequest& classified = request.mClassified;
    classified.mLevel.mClass = "agents";
    classified.mLevel.mWorkspace =
      "workspace-" + std::to_string(mRequestNumber % mWorkspaceCount);
    classified.mDeadline = Millis(60000);
    classified.mIdempotent = true;
    classified.mTraffic = { { "model", "base" },
                            { "class", "agents" },
                            { "workspace", classified.mLevel.mWorkspace } };
    request.mPromptTokens = 500;
    request.mPrefixHash = mRequestNumber % 5000 + 1;
    return request;
  }

  void RunStep()
  {
    mNow += Millis(mRequestNumber % 2 == 0 ? 1 : 0);
    EntryRequest request = NextRequest();
    const EntryActions offered =
      mRequest.Add([&] { return mCore.OnRequest(std::move(request), mNow); });
    const auto& send = std::get<SendToSidecar>(offered.at(0));
    const AttemptKey key = std::get<Offer>(send.mMessage).mKey;
    const UpstreamId& upstream = send.mUpstream;
    mGrant.Add([&] {
      return mCore.OnMessage(upstream, Grant{ key, Millis(1000) }, mNow);
    });
    mAnswer.Add([&] {
      mCore.OnMessage(upstream, Chunk{ key, 0, "x", 1, 200, {} }, mNow);
      return mCore.OnMessage(upstream, Finished{ key, 1, 500, 1 }, mNow);
    });
    if (mCore.NextWake() <= mNow) {
      mCore.OnTick(mNow);
    }
  }

  int64_t mInitialBytes;
  uint64_t mWorkspaceCount;
  uint64_t mRequestNumber = 0;
  std::mt19937_64 mRandom{ 1 };
  Millis mNow{ 1000 };
  EntryCore mCore;
  Cost mRequest;
  Cost mGrant;
  Cost mAnswer;
};

} // namespace

} // namespace trefoilarch

int
main()
{
  for (const int upstreams : { 12, 910 }) {
    for (const int workspaces : { 10, 2400 }) {
      for (const int open : { 100, 10000 }) {
        std::printf("%d upstreams, %d workspaces, %d open requests\n",
                    upstreams,
                    workspaces,
                    open);
        trefoilarch::Bench(upstreams, workspaces, open).Run();
      }
    }
  }
  return 0;
}
