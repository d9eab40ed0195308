#pragma once

#include <functional>
#include <string>
#include <vector>

namespace integration {

class Fleet;

/**
 * A failure that can be brought about in a running fleet, and its repair; the
 * number says which entry or which upstream.
 */
struct Fault
{
  std::string mName;
  std::function<void(Fleet&, size_t)> mInject;
  std::function<void(Fleet&, size_t)> mUndo;
  bool mTargetsEntry = false; /**< the number is an entry's */
  /** Callers of that entry lose their connection without a word. */
  bool mEntryDies = false;
};

/**
 * Kills, freezes, cuts, silences and half-opened connections of an entry and
 * of everything about an upstream. The fleet needs proxies on channels and
 * upstreams.
 */
std::vector<Fault>
AllFaults();

/**
 * What an engine and the platform may be told to do: slow down, stall, crash
 * in an answer, refuse; be down, be slow, lose answers.
 */
std::vector<Fault>
OrderedFaults();

/** The fault of that name; throws std::out_of_range. */
Fault
FaultNamed(const std::string& aName);

} // namespace integration
