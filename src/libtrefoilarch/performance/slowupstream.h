#pragma once

#include "../ids.h"
#include "../millis.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** Whose samples show that an upstream is slow. */
enum class SlowSource : uint8_t
{
  Own,   /**< this entry has enough samples of its own */
  Heard, /**< mostly the reports of other entries */
};

struct SlowUpstream
{
  UpstreamId mUpstream;
  std::string mService;
  /** Lasting time of work relative to the median of its service. */
  double mFactor = 1;
  /** Start of the slowness. */
  Millis mSince;
  SlowSource mSource = SlowSource::Own;

  bool operator==(const SlowUpstream&) const = default;
};

/** Onset or end of slowness. */
struct SlowUpstreamChange
{
  /** At the end, its factor is the one that ended the slowness. */
  SlowUpstream mUpstream;
  /** False at the end. */
  bool mSlow = false;
  Millis mAt;

  bool operator==(const SlowUpstreamChange&) const = default;
};

} // namespace trefoilarch
