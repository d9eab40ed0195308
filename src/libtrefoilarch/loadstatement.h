#pragma once

#include "upstreamwork.h"

#include <optional>

namespace trefoilarch {

/** What an upstream's response states about its load. */
struct LoadStatement
{
  /** Empty if the response has no readable load report. */
  std::optional<ReportedLoad> mLoad;
  /** How long work takes on the upstream's host at this moment, relative to the
   * usual time. Empty if not stated. */
  std::optional<double> mContention;
  /** Whether a part of the report could not be read. */
  bool mInvalid = false;

  bool operator==(const LoadStatement&) const = default;
};

} // namespace trefoilarch
