#pragma once

#include "millis.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * What other entries tell of an upstream that leaves their requests without
 * any answer. One entry alone may be cut off itself: two have to say so, and
 * nobody may have got an answer since.
 */
class PeerSilence
{
public:
  /** That entry's requests there have been without a byte since aSince. */
  void OnPeerReport(const std::string& aFrom, Millis aSince, Millis aNow);
  /** Some entry got an answer. */
  void OnAnswered() { mTold.clear(); }

  /** How long the upstream has been silent to others; zero where it is not. */
  Millis Silence(Millis aNow) const;

private:
  struct Told
  {
    std::string mFrom;
    Millis mSince;
    Millis mAt;
  };

  /** The last ones, of different entries. */
  std::vector<Told> mTold;
};

} // namespace trefoilarch
