#pragma once

#include "libtrefoilarch/entrycore.h"

#include <memory>
#include <optional>
#include <string>

namespace trefoilarch {

/** A policy by which all traffic may go to any upstream. */
inline std::shared_ptr<const Classifier>
AnyUpstream()
{
  auto policy = std::make_shared<Policy>();
  policy->mVersion = 1;
  policy->mSelectors["all"] = { .mName = "all",
                                .mTraffic = {},
                                .mUpstreams = {} };
  return std::make_shared<const Classifier>(std::move(policy));
}

/** One caller's request at a VirtualFleet and its outcome. */
struct VirtualCaller
{
  bool mIdempotent = true;
  Millis mArrivedAt;
  Millis mDeadline;
  bool mHead = false;
  std::string mData{};
  bool mComplete = false;
  bool mDisconnected = false;
  std::optional<Refusal> mRefusal{};
  Millis mEndedAt{};
  /** How often an upstream started to work on it. */
  int mRuns = 0;

  bool Ended() const { return mComplete || mRefusal; }
};

/** Behaviour of a VirtualFleet's upstreams; probabilities from 0 to 1. */
struct VirtualEngines
{
  double mCrash = 0;
  double mRefuse = 0;
  Millis mMaxPause{ 100 };
};

} // namespace trefoilarch
