#pragma once

#include "policyoperation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace trefoilarch {

/** Who changed an object of the policy last. */
struct ObjectMark
{
  uint64_t mVersion = 0;
  std::string mAuthor;

  bool operator==(const ObjectMark&) const = default;
};

/** Where a change's id stands: accepted in a version, or ruled out in it. */
struct IdMark
{
  uint64_t mVersion = 0;
  bool mVoided = false;

  bool operator==(const IdMark&) const = default;
};

/**
 * The policy at one version, with what later changes are judged by. Every
 * process that applies the same log has the same state.
 */
struct PolicyState
{
  std::shared_ptr<const Policy> mPolicy = std::make_shared<Policy>();
  /** By object, such as `class/call`; removed objects too. */
  std::map<std::string, ObjectMark> mMarks;
  /** Ids of the changes that were accepted or ruled out. */
  std::map<std::string, IdMark> mIds;

  uint64_t Version() const { return mPolicy->mVersion; }
};

/** Marks and ids older than this many versions are forgotten. */
constexpr uint64_t kPolicyMemory = 4000;

/** How an id stands in a state. */
enum class ChangeStanding
{
  NotSeen,
  Accepted,
  Voided,
};

ChangeStanding
StandingOf(const PolicyState& aState, const std::string& aId);

} // namespace trefoilarch
