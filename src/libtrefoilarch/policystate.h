#pragma once

#include "policyoperation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace trefoilarch {

/** The last change of a policy object. */
struct ObjectRevision
{
  uint64_t mVersion = 0;
  std::string mAuthor;

  bool operator==(const ObjectRevision&) const = default;
};

/** The version in which a change was accepted or voided. */
struct ChangeIdRecord
{
  uint64_t mVersion = 0;
  bool mVoided = false;

  bool operator==(const ChangeIdRecord&) const = default;
};

/**
 * The policy at one version, with the records needed to validate later
 * changes. Processes that apply the same log have the same state.
 */
struct PolicyState
{
  std::shared_ptr<const Policy> mPolicy = std::make_shared<Policy>();
  /** By object, such as `class/call`; includes removed objects. */
  std::map<std::string, ObjectRevision> mObjectRevisions;
  /** By id, for changes that were accepted or voided. */
  std::map<std::string, ChangeIdRecord> mChangeIds;

  uint64_t Version() const { return mPolicy->mVersion; }
};

/** Object revisions and change ids are kept for this many versions. */
constexpr uint64_t kRetainedPolicyVersions = 4000;

enum class ChangeStatus
{
  NotSeen,
  Accepted,
  Voided,
};

ChangeStatus
ChangeStatusOf(const PolicyState& aState, const std::string& aId);

} // namespace trefoilarch
