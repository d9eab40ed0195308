#pragma once

#include "ids.h"
#include "millis.h"
#include "peerupdate.h"
#include "upstreamwork.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** Collects what has changed at an entry since its last update to peers. */
class PeerUpdateBuilder
{
public:
  PeerUpdateBuilder(std::string aName, uint64_t aProcess);

  /** A prompt was sent. */
  void OnSent(SentPrompt aSent);
  /** A load report was received. */
  void OnReport(const UpstreamId& aUpstream,
                const ReportedLoad& aLoad,
                Millis aNow);
  /** The upstream has responded. */
  void OnAnswered(const UpstreamId& aUpstream) { mAnswered.insert(aUpstream); }
  /** State that each update contains in full has changed. */
  void MarkChanged() { mChanged = true; }

  /** Whether there is state that peers haven't received yet. */
  bool HasChanges() const { return mChanged; }
  /** Returns what was collected, and starts anew. Load reports are dropped
   * unless aWithReports. */
  PeerUpdate Take(bool aWithReports, Millis aNow);

private:
  struct TimedReport
  {
    ReportedLoad mLoad;
    Millis mAt;
  };

  std::string mName;
  /** Distinguishes this process from its successors of the same name. */
  uint64_t mProcess;
  uint64_t mSequence = 0;
  bool mChanged = false;
  std::vector<SentPrompt> mSent;
  std::unordered_map<UpstreamId, TimedReport> mReports;
  std::set<UpstreamId> mAnswered;
};

} // namespace trefoilarch
