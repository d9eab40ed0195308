#pragma once

#include "gatemetrics.h"

#include "libtrefoilarch/loadtracker.h"
#include "libtrefoilarch/streams/serviceversions.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace trefoilgate {

/**
 * The series of a gauge for labels that come and go. Series of labels that are
 * gone are set to zero, so that no old value remains. Only the latest of these
 * are kept, so that their number is bounded.
 */
class LabelledGauge
{
public:
  /** Maximum number of series of labels that are gone. */
  static constexpr size_t kMaxZeroed = 100;

  LabelledGauge(GateMetrics& aMetrics, Gauge aGauge);

  /** Sets the values of all labels that there are now. */
  void SetAll(const std::map<std::string, double>& aValues);

private:
  GateMetrics& mMetrics;
  Gauge mGauge;
  std::map<std::string, double> mValues;
  /** Labels whose series are zero, the one that was gone first in front. */
  std::deque<std::string> mZeroed;
};

/** Sets the gauges of slow upstreams, versions and workspaces. */
class LoadGauges
{
public:
  /** Maximum number of workspaces with series of their own; the others are
   * summed as "other". */
  static constexpr size_t kMaxWorkspaces = 20;

  explicit LoadGauges(GateMetrics& aMetrics);

  /** Sets the numbers of slow upstreams by service. */
  void SetSlowUpstreams(const std::map<std::string, size_t>& aCounts);
  void SetVersions(const trefoilarch::VersionCounts& aCounts);
  /** Sums each workspace's services and tiers. */
  void SetWorkspaces(const std::vector<trefoilarch::WorkspaceLoad>& aLoads);

private:
  LabelledGauge mSlow;
  LabelledGauge mVersions;
  LabelledGauge mDemand;
  LabelledGauge mShare;
  LabelledGauge mShed;
};

} // namespace trefoilgate
