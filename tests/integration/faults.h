#pragma once

#include <functional>
#include <string>
#include <vector>

namespace integration {

class Fleet;

/**
 * A failure that can be injected into a running fleet, and its repair. The
 * number is the index of an entry or of an upstream.
 */
struct Fault
{
  std::string mName;
  std::function<void(Fleet&, size_t)> mInject;
  std::function<void(Fleet&, size_t)> mUndo;
  bool mTargetsEntry = false; /**< the index is that of an entry */
  /** Callers of that entry lose their connection without a response. */
  bool mEntryDies = false;
};

/**
 * Killed and frozen processes (entry, sidecar, engine); cut, silent and
 * half-open connections (channel, upstream link). The fleet needs proxies on
 * channels and upstreams.
 */
std::vector<Fault>
AllFaults();

/**
 * Faults that the stand-ins inject on command. Engine: slow, stalled, crash
 * in a response, reject requests. Platform table: down, slow, lost responses.
 */
std::vector<Fault>
OrderedFaults();

/** Returns the fault in AllFaults() of that name; throws std::out_of_range. */
Fault
FindFault(const std::string& aName);

} // namespace integration
