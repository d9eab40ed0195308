#pragma once

#include "policyoperation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace trefoilarch {

/** Who changed an object of the policy last. */
struct ObjectRevision
{
  uint64_t mVersion = 0;
  std::string mAuthor;

  bool operator==(const ObjectRevision&) const = default;
};

/** Where a change's id stands: accepted in a version, or ruled out in it. */
struct ChangeIdRecord
{
  uint64_t mVersion = 0;
  bool mVoided = false;

  bool operator==(const ChangeIdRecord&) const = default;
};

/**
 * The policy at one version, with what later changes are judged by. Every
 * process that applies the same log has the same state.
 */
struct PolicyState
{
  std::shared_ptr<const Policy> mPolicy = std::make_shared<Policy>();
  /** By object, such as `class/call`; removed objects too. */
  std::map<std::string, ObjectRevision> mObjectRevisions;
  /** Ids of the changes that were accepted or ruled out. */
  std::map<std::string, ChangeIdRecord> mChangeIds;

  uint64_t Version() const { return mPolicy->mVersion; }
};

/** Marks and ids older than this many versions are forgotten. */
constexpr uint64_t kRetainedPolicyVersions = 4000;

/** How an id stands in a state. */
enum class ChangeStatus
{
  NotSeen,
  Accepted,
  Voided,
};

ChangeStatus
ChangeStatusOf(const PolicyState& aState, const std::string& aId);

} // namespace trefoilarch
