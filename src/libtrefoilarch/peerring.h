#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Determines which entries send their updates to which others. Entries form a
 * ring by their names, and each sends to the next ones. In a fleet of any size,
 * each receives updates from as many as it sends to.
 */
class PeerRing
{
public:
  /** Maximum number of entries that one sends to. */
  static constexpr size_t kMaxReceivers = 40;
  /** Number of coordinators: one may be lost while another one starts. */
  static constexpr size_t kCoordinators = 3;

  /** aNames are the sorted names of all entries, possibly including aOwn. */
  PeerRing(const std::string& aOwn, const std::vector<std::string>& aNames);

  /** All others, starting with the next one. The first kMaxReceivers of them
   * receive updates. */
  const std::vector<std::string>& Others() const { return mOthers; }
  /**
   * Whether this entry polls the store for changes and forwards them. Few
   * entries poll, so that the store's work for a change hardly grows with the
   * fleet, but enough that each entry receives changes from several.
   */
  bool PollsStore() const { return mPollsStore; }
  /** The names of the entries that compete for the fleet's singleton duties and
   * collect what these need. Few, however large the fleet is, and chosen by a
   * hash, so that they hardly change when entries come and go. */
  std::vector<std::string> Coordinators() const;
  /** Entries that send to this one. The others never do. */
  std::vector<std::string> Senders() const;

private:
  std::vector<std::string> mOthers;
  std::vector<std::string> mNames;
  bool mPollsStore = true;
};

} // namespace trefoilarch
