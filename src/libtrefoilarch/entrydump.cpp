#include "entryimpl.h"

#include "loaddump.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

namespace {

const char*
NameOf(ChannelState aState)
{
  switch (aState) {
    case ChannelState::Greeting:
      return "greeting";
    case ChannelState::Ready:
      return "up";
    default:
      return "down";
  }
}

const char*
NameOf(OutlierState aState)
{
  switch (aState) {
    case OutlierState::Ejected:
      return "ejected";
    case OutlierState::Probing:
      return "trial";
    default:
      return "no";
  }
}

nlohmann::json
Dump(const UpstreamLink& aLink)
{
  return { { "data_centre", aLink.mView.mDataCentre },
           { "labels", aLink.mView.mLabels },
           { "channel", NameOf(aLink.mHealth.State()) },
           { "leaving", aLink.mLeaving || !aLink.mListed },
           { "incarnation", aLink.mIncarnation },
           { "load", Dump(aLink.mLoad) },
           { "open_attempts", aLink.mOpen.size() },
           { "unconfirmed_withdrawals", aLink.mWithdrawn.size() } };
}

nlohmann::json
Dump(const OpenRequest& aRequest, Millis aNow)
{
  const ServiceLevel& level = aRequest.mRequest.mClassified.mLevel;
  nlohmann::json dump = { { "class", level.mClass },
                          { "workspace", level.mWorkspace },
                          { "tier", level.mTier },
                          { "age_ms", (aNow - aRequest.mArrivedAt).Count() },
                          { "remaining_ms",
                            (aRequest.mDeadline - aNow).Count() },
                          { "offers", aRequest.mOffers.size() },
                          { "attempts", aRequest.mLastAttempt },
                          { "retries", aRequest.mRetries },
                          { "next_chunk", aRequest.mNextChunk } };
  if (aRequest.mStartedAttempt) {
    dump["started_at"] = aRequest.mStartedAttempt->mUpstream;
  }
  return dump;
}

nlohmann::json
Dump(const EntryCounters& aCounters)
{
  nlohmann::json refusals = nlohmann::json::object();
  for (const auto& [kind, count] : aCounters.mRefusals) {
    refusals[std::string(Name(kind))] = count;
  }
  return { { "requests", aCounters.mRequests },
           { "whole_answers", aCounters.mCompleteResponses },
           { "callers_left", aCounters.mCallersLeft },
           { "offers", aCounters.mOffers },
           { "starts", aCounters.mStarts },
           { "retries", aCounters.mRetries },
           { "channels_reopened", aCounters.mChannelsReopened },
           { "messages_dropped", aCounters.mMessagesDropped },
           { "refusals", std::move(refusals) } };
}

/** Maximum number of requests listed in a dump. */
constexpr size_t kMaxDumpedRequests = 100;

} // namespace

std::string
EntryCore::Impl::DumpState(Millis aNow) const
{
  nlohmann::json upstreams = nlohmann::json::object();
  for (const auto& [name, link] : mLinks) {
    upstreams[name] = Dump(link);
    upstreams[name]["outlier"] = NameOf(mOutlierDetector.State(name, aNow));
  }
  nlohmann::json requests = nlohmann::json::object();
  for (const auto& [id, request] : mRequests) {
    if (requests.size() == kMaxDumpedRequests) {
      break;
    }
    requests[id.Text()] = Dump(request, aNow);
  }
  const nlohmann::json dump = { { "entry", mOptions.mEntry },
                                { "data_centre", mOptions.mDataCentre },
                                { "policy_version", PolicyVersion() },
                                { "open_requests", mRequests.size() },
                                { "counters", Dump(mCounters) },
                                { "ejections", mOutlierDetector.Ejections() },
                                { "upstreams", std::move(upstreams) },
                                { "requests", std::move(requests) } };
  return dump.dump();
}

} // namespace trefoilarch
