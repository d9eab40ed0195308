#pragma once

#include "policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** Adds a class or replaces the class of the same name. */
struct SetClass
{
  RequestClass mClass;
  bool operator==(const SetClass&) const = default;
};

struct RemoveClass
{
  std::string mName;
  bool operator==(const RemoveClass&) const = default;
};

struct SetWorkspace
{
  Workspace mWorkspace;
  bool operator==(const SetWorkspace&) const = default;
};

struct RemoveWorkspace
{
  std::string mName;
  bool operator==(const RemoveWorkspace&) const = default;
};

struct SetSelector
{
  Selector mSelector;
  bool operator==(const SetSelector&) const = default;
};

struct RemoveSelector
{
  std::string mName;
  bool operator==(const RemoveSelector&) const = default;
};

/** Sets some labels of an upstream; a label without a value is removed. */
struct SetUpstreamLabels
{
  std::string mUpstream;
  std::map<std::string, std::optional<std::string>> mLabels;
  bool operator==(const SetUpstreamLabels&) const = default;
};

/** Drains an upstream, or returns it to service. */
struct SetDrained
{
  std::string mUpstream;
  bool mDrained = true;
  bool operator==(const SetDrained&) const = default;
};

/** Replaces the complete policy. */
struct ReplacePolicy
{
  Policy mPolicy;
  bool operator==(const ReplacePolicy&) const = default;
};

/**
 * Permanently prevents a change from being accepted. It is logged when an
 * operator queries a change that the log does not contain, because the change's
 * write may still be in flight.
 */
struct VoidChange
{
  std::string mId;
  bool operator==(const VoidChange&) const = default;
};

using PolicyOperation = std::variant<SetClass,
                                     RemoveClass,
                                     SetWorkspace,
                                     RemoveWorkspace,
                                     SetSelector,
                                     RemoveSelector,
                                     SetUpstreamLabels,
                                     SetDrained,
                                     ReplacePolicy,
                                     VoidChange>;

/** A change proposed by an operator; its operations are applied atomically. */
struct PolicyChange
{
  /** Unique; repeated proposals of an id are accepted only once. */
  std::string mId;
  std::string mAuthor;
  /** The version the author started from; unset: conflicts are ignored. */
  std::optional<uint64_t> mBaseVersion;
  int64_t mUnixSeconds = 0; /**< for display only */
  std::vector<PolicyOperation> mOperations;

  bool operator==(const PolicyChange&) const = default;
};

/** An accepted change and its version in the log. */
struct LoggedChange
{
  uint64_t mVersion = 0;
  PolicyChange mChange;

  bool operator==(const LoggedChange&) const = default;
};

} // namespace trefoilarch
