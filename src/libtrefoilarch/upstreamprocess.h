#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilarch {

/** What distinguishes the processes that run under one upstream id. */
struct UpstreamProcess
{
  std::string mAddress;
  /** In Unix milliseconds, if the upstream reports it. */
  std::optional<int64_t> mStartTime;
  /** Number of its latest message. Restarts with each process. */
  std::optional<uint64_t> mSequence;
  /** Of its software; empty if it names none. */
  std::string mVersion;

  bool operator==(const UpstreamProcess&) const = default;
};

/** Whether aNow, which was observed after aBefore, is another process. */
bool
IsReplaced(const UpstreamProcess& aBefore, const UpstreamProcess& aNow);

} // namespace trefoilarch
