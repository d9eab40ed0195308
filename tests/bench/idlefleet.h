#pragma once

#include "integration/childprocess.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bench {

/** How many processes of each role. */
struct FleetSize
{
  size_t mEntries = 0;
  size_t mSidecars = 0;
};

/**
 * Entries and sidecars as real processes; one engine stand-in stands for the
 * engines of all sidecars. Made for measuring what control costs.
 */
class RestingFleet
{
public:
  RestingFleet(FleetSize aSize, const std::vector<std::string>& aEntryFlags);

  const FleetSize& Size() const { return mSize; }
  const integration::ChildProcess& Entry(size_t aPlace) const
  {
    return *mEntries[aPlace];
  }
  const integration::ChildProcess& Sidecar(size_t aPlace) const
  {
    return *mSidecars[aPlace];
  }
  std::string EntryUrl(size_t aPlace) const;
  /** The port of a sidecar's channels. */
  uint16_t ChannelPort(size_t aSidecar) const;

  /** Reads and writes that the platform has served, by service. */
  nlohmann::json PlatformCounts() const;
  /** Bytes of one answer to a poll of the host list. */
  size_t HostListBytes() const;
  /** Changes the policy through the first entry; its new version or 0. */
  uint64_t ChangePolicy(const nlohmann::json& aOperation);
  /** The policy version that an entry's operator port tells. */
  uint64_t PolicyVersion(size_t aEntry) const;
  bool AwaitReady(size_t aEntry) const;

private:
  void PublishHosts() const;

  const FleetSize mSize;
  mutable integration::ChildProcess mPlatform;
  integration::ChildProcess mEngine;
  std::vector<std::unique_ptr<integration::ChildProcess>> mSidecars;
  std::vector<std::unique_ptr<integration::ChildProcess>> mEntries;
  size_t mChanges = 0;
};

} // namespace bench
