#pragma once

#include "ids.h"

#include <compare>
#include <string>
#include <vector>

namespace trefoilarch {

/** A sidecar as listed by the platform or by a fixed list. */
struct SidecarMember
{
  UpstreamId mUpstream;
  std::string mAddress; /**< IP and port of its gRPC server */
  std::string mDataCentre;
  bool mLeaving = false;
  /** The model or service if the list names it, else empty. */
  std::string mGroup;

  auto operator<=>(const SidecarMember&) const = default;
};

/** An entry as listed by the platform; a peer for the policy exchange. */
struct EntryMember
{
  std::string mHost;
  std::string mAddress; /**< IP and port of its gRPC server for peers */
  std::string mDataCentre;
  bool mLeaving = false;

  auto operator<=>(const EntryMember&) const = default;
};

/**
 * All listed processes, sorted. The platform's list lags behind their real
 * state.
 */
struct Membership
{
  std::vector<SidecarMember> mSidecars;
  std::vector<EntryMember> mEntries;

  bool operator==(const Membership&) const = default;
};

} // namespace trefoilarch
