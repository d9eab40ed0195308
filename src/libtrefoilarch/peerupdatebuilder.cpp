#include "peerupdatebuilder.h"

#include <utility>

namespace trefoilarch {

namespace {

/** Maximum number of prompts kept for the next update. Peers that miss one may
 * prefill its prefix again. */
constexpr size_t kMaxSentPrompts = 64;

} // namespace

PeerUpdateBuilder::PeerUpdateBuilder(std::string aName, uint64_t aProcess)
  : mName(std::move(aName))
  , mProcess(aProcess)
{
}

void
PeerUpdateBuilder::OnSent(SentPrompt aSent)
{
  mChanged = true;
  if (mSent.size() < kMaxSentPrompts) {
    mSent.push_back(std::move(aSent));
  }
}

void
PeerUpdateBuilder::OnReport(const UpstreamId& aUpstream,
                            const ReportedLoad& aLoad,
                            Millis aNow)
{
  mReports[aUpstream] = { .mLoad = aLoad, .mAt = aNow };
}

PeerUpdate
PeerUpdateBuilder::Take(bool aWithReports, Millis aNow)
{
  PeerUpdate update{ .mFrom = mName,
                     .mProcess = mProcess,
                     .mSequence = ++mSequence,
                     .mSent = std::exchange(mSent, {}) };
  const auto reports = std::exchange(mReports, {});
  if (aWithReports) {
    for (const auto& [id, report] : reports) {
      update.mReports.push_back(
        { .mUpstream = id, .mLoad = report.mLoad, .mAge = aNow - report.mAt });
    }
  }
  const auto answered = std::exchange(mAnswered, {});
  update.mAnswered.assign(answered.begin(), answered.end());
  mChanged = false;
  return update;
}

} // namespace trefoilarch
