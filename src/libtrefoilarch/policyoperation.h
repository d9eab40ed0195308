#pragma once

#include "policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** Adds a class or puts it in place of the one of that name. */
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

/** Sets some of an upstream's labels; a label without a value goes away. */
struct SetUpstreamLabels
{
  std::string mUpstream;
  std::map<std::string, std::optional<std::string>> mLabels;
  bool operator==(const SetUpstreamLabels&) const = default;
};

/** Drains an upstream, or ends that. */
struct SetDrained
{
  std::string mUpstream;
  bool mDrained = true;
  bool operator==(const SetDrained&) const = default;
};

/** Puts a whole policy in place of what is there. */
struct ReplacePolicy
{
  Policy mPolicy;
  bool operator==(const ReplacePolicy&) const = default;
};

/**
 * Rules out for good that the change of that id is accepted. Written where an
 * operator asks what became of a change that the log does not have: its write
 * may still be under way.
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

/** What an operator asks for: all of its operations or none. */
struct PolicyChange
{
  /** Unique; a repeat of the same id is accepted once only. */
  std::string mId;
  std::string mAuthor;
  /** The version its author has seen, where conflicts are to be found. */
  std::optional<uint64_t> mBaseVersion;
  int64_t mUnixSeconds = 0; /**< for people's eyes alone */
  std::vector<PolicyOperation> mOperations;

  bool operator==(const PolicyChange&) const = default;
};

/** An accepted change in its place in the log. */
struct LoggedChange
{
  uint64_t mVersion = 0;
  PolicyChange mChange;

  bool operator==(const LoggedChange&) const = default;
};

} // namespace trefoilarch
