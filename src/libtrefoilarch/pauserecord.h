#pragma once

#include "millis.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace trefoilarch {

/**
 * How long the pauses between the events of a route's streams are: engines
 * read prompts between the tokens of the answers beside them, a chunk at
 * a time, and how long that holds an answer up is the engine's to show.
 */
class PauseRecord
{
public:
  /** A part of a stream came so long after the one before. */
  void OnPause(const std::string& aRoute, Millis aPause, Millis aNow);
  /** A stream of the route ended. */
  void OnStreamEnded(const std::string& aRoute, Millis aNow);

  /**
   * The share of a route's streams that would have a pause longer than
   * aLongest beside the streams of another route; empty while too little was
   * seen.
   */
  double LateShare(const std::string& aRoute,
                   const std::string& aBeside,
                   Millis aLongest) const;
  /** Enough was seen of both for LateShare() to mean something. */
  bool HasEnoughData(const std::string& aRoute,
                     const std::string& aBeside) const;

private:
  /** Each bucket's bound is a tenth above the one before. */
  static constexpr size_t kBuckets = 96;

  struct Seen
  {
    std::array<double, kBuckets> mPauses{};
    double mAll = 0;
    double mStreams = 0;
    Millis mAt;
  };

  static size_t BucketOf(Millis aPause);
  static void Fade(Seen& aSeen, Millis aNow);

  std::map<std::string, Seen> mRoutes;
};

} // namespace trefoilarch
