#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Which entries tell which others what they do. Entries stand in a ring by
 * their names, and each tells the next ones: in a fleet of any size each is
 * told by as many as it tells.
 */
class PeerRing
{
public:
  /** Entries that each one tells. */
  static constexpr size_t kMaxReceivers = 40;

  /** aNames are all entries' names in order; aOwn may be among them. */
  PeerRing(const std::string& aOwn, const std::vector<std::string>& aNames);

  /** All others, the next one first: the first kMaxReceivers are told. */
  const std::vector<std::string>& Others() const { return mOthers; }
  /**
   * Whether this one asks the store for the changes that it tells the others.
   * So few do that what the store has to answer for a change hardly grows with
   * the fleet, and so many that each entry is told by several.
   */
  bool PollsStore() const { return mListens; }
  /** Those that tell this one; the rest are never heard here. */
  std::vector<std::string> Senders() const;

private:
  std::vector<std::string> mOthers;
  bool mListens = true;
};

} // namespace trefoilarch
