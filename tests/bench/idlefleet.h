#pragma once

#include "integration/childprocess.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bench {

/** Number of processes per role. */
struct FleetSize
{
  size_t mEntries = 0;
  size_t mSidecars = 0;
};

/**
 * Entries and sidecars as real processes that share one engine stand-in. Used
 * to measure the cost of the control plane.
 */
class IdleFleet
{
public:
  IdleFleet(FleetSize aSize, const std::vector<std::string>& aEntryFlags);

  const FleetSize& Size() const { return mSize; }
  const integration::ChildProcess& Entry(size_t aIndex) const
  {
    return *mEntries[aIndex];
  }
  const integration::ChildProcess& Sidecar(size_t aIndex) const
  {
    return *mSidecars[aIndex];
  }
  std::string EntryUrl(size_t aIndex) const;
  /** Returns the port of a sidecar's channels. */
  uint16_t ChannelPort(size_t aSidecar) const;

  /** Returns the reads and writes that the platform served, by service. */
  nlohmann::json PlatformCounts() const;
  /** Returns the size of one host list response. */
  size_t HostListBytes() const;
  /** Changes the policy through the first entry; returns its version or 0. */
  uint64_t ChangePolicy(const nlohmann::json& aOperation);
  /** Returns the policy version reported by an entry's operator port. */
  uint64_t PolicyVersion(size_t aEntry) const;
  bool AwaitReady(size_t aEntry) const;

private:
  void PublishHosts() const;

  const FleetSize mSize;
  mutable integration::ChildProcess mPlatform;
  integration::ChildProcess mEngine;
  std::vector<std::unique_ptr<integration::ChildProcess>> mSidecars;
  std::vector<std::unique_ptr<integration::ChildProcess>> mEntries;
  size_t mChangeCount = 0;
};

} // namespace bench
