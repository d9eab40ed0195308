#pragma once

#include "millis.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Reports of other entries that an upstream does not respond to their requests.
 * A single entry may be isolated itself, so two have to report it, and no entry
 * may have received a response since.
 */
class PeerSilence
{
public:
  /** The entry's requests to the upstream have received no byte since
   * aSince. */
  void OnPeerReport(const std::string& aFrom, Millis aSince, Millis aNow);
  /** An entry received a response. */
  void OnAnswered() { mReports.clear(); }

  /** How long the upstream has been silent to other entries. Zero if it is
   * not. */
  Millis Silence(Millis aNow) const;

private:
  struct Report
  {
    std::string mFrom;
    Millis mSince;
    Millis mReceivedAt;
  };

  /** The latest reports, of different entries. */
  std::vector<Report> mReports;
};

} // namespace trefoilarch
