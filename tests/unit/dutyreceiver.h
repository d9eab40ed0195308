#pragma once

#include "libtrefoilarch/dutyactions.h"
#include "libtrefoilarch/millis.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dutymodel {

/** How long a host must not act again after it acted before another one. */
constexpr trefoilarch::Millis kMinReturnTime{ 3000 };

/** Checks what the receiver sees. */
class Receiver
{
public:
  void OnCall(const std::string& aHost,
              uint64_t aFencingToken,
              const trefoilarch::DutyReport& aReport,
              trefoilarch::Millis aNow)
  {
    if (aFencingToken < mHighest) {
      Break("a lower fencing token after a higher one");
    }
    mHighest = std::max(mHighest, aFencingToken);
    const auto owner = mOwners.emplace(aFencingToken, aHost).first;
    if (owner->second != aHost) {
      Break("two hosts with one fencing token");
    }
    const auto body = mBodies.emplace(aReport.mPeriod, aReport.mBody).first;
    if (body->second != aReport.mBody) {
      Break("two reports of one period");
    }
    CheckReturn(aHost, aNow);
    mActs.emplace_back(aHost, aNow);
  }

  const std::string& Violation() const { return mViolation; }
  size_t Periods() const { return mBodies.size(); }

  template<typename Digest>
  void AddTo(Digest& aDigest, trefoilarch::Millis aNow) const
  {
    aDigest.Add(static_cast<int64_t>(mHighest));
    for (const auto& [period, body] : mBodies) {
      aDigest.Add(body);
    }
    for (const auto& [token, host] : mOwners) {
      aDigest.Add(static_cast<int64_t>(token));
      aDigest.Add(host);
    }
    for (const auto& [host, time] : mActs) {
      if (aNow - time < kMinReturnTime) {
        aDigest.Add(host);
        aDigest.Add(time);
      }
    }
  }

private:
  void Break(const char* aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat;
    }
  }

  /** A host must not act again shortly after it acted before another one. */
  void CheckReturn(const std::string& aHost, trefoilarch::Millis aNow)
  {
    const auto isOwn = [&](const auto& aAct) { return aAct.first == aHost; };
    const auto lastOther =
      std::find_if_not(mActs.rbegin(), mActs.rend(), isOwn);
    const bool returns =
      std::any_of(mActs.begin(), lastOther.base(), [&](const auto& aAct) {
        return isOwn(aAct) && aNow - aAct.second < kMinReturnTime;
      });
    if (returns) {
      Break("a host acts, another one, and the first again");
    }
  }

  uint64_t mHighest = 0;
  std::map<uint64_t, std::string> mOwners;
  std::map<uint64_t, std::string> mBodies;
  std::vector<std::pair<std::string, trefoilarch::Millis>> mActs;
  std::string mViolation;
};

} // namespace dutymodel
