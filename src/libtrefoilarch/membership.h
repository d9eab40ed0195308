#pragma once

#include "ids.h"

#include <compare>
#include <string>
#include <vector>

namespace trefoilarch {

/** A sidecar as the platform's host list, or a fixed list, gives it. */
struct SidecarMember
{
  UpstreamId mUpstream;
  std::string mAddress; /**< IP and port of its gRPC server */
  std::string mDataCentre;
  bool mLeaving = false;
  /** The model or service, where the list tells it; else empty. */
  std::string mGroup;

  auto operator<=>(const SidecarMember&) const = default;
};

/** An entry as the platform's host list gives it; a peer for the policy. */
struct EntryMember
{
  std::string mHost;
  std::string mAddress; /**< IP and port of its gRPC server for peers */
  std::string mDataCentre;
  bool mLeaving = false;

  auto operator<=>(const EntryMember&) const = default;
};

/** Who exists, sorted; the word of the platform, which lags. */
struct Membership
{
  std::vector<SidecarMember> mSidecars;
  std::vector<EntryMember> mEntries;

  bool operator==(const Membership&) const = default;
};

} // namespace trefoilarch
