#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** A caller's connection, unique in this process. */
using ConnectionId = uint64_t;

/** The memory that a connection takes. */
struct ConnectionMemory
{
  /** All of it: what was read, its parsed parts, requests that are served, and
   * answers that are not written. */
  size_t mBytes = 0;
  /** The part that an UploadBudget or a BufferBudget has admitted. */
  size_t mAdmittedBytes = 0;
  /** A request of the connection is being served. */
  bool mServing = false;

  size_t UnadmittedBytes() const { return mBytes - mAdmittedBytes; }

  bool operator==(const ConnectionMemory&) const = default;
};

/** Options of a ConnectionBudget. */
struct ConnectionBudgetOptions
{
  /** Maximum bytes of all connections. */
  size_t mTotalBytes = 268435456;
  /** Bytes that are not admitted may reach this in any case. */
  size_t mUnadmittedBytes = 67108864;

  bool operator==(const ConnectionBudgetOptions&) const = default;
};

/**
 * The memory that callers' connections take, and which of them are closed once
 * it exceeds its bound.
 *
 * Admitted bytes are bounded by the budgets that admitted them and count only
 * towards the sum. Of the rest the costliest connections are closed first, so
 * that callers with requests of an ordinary size come last.
 */
class ConnectionBudget
{
public:
  explicit ConnectionBudget(ConnectionBudgetOptions aOptions);

  void SetOptions(ConnectionBudgetOptions aOptions) { mOptions = aOptions; }

  void Set(ConnectionId aConnection, const ConnectionMemory& aMemory);
  void Remove(ConnectionId aConnection);

  bool IsExceeded() const;
  /** The connections to close: none unless the bound is exceeded; then enough
   * to leave some room. Those that serve no request come first, then those with
   * most bytes that are not admitted. */
  std::vector<ConnectionId> Victims() const;

  size_t TotalBytes() const { return mTotalBytes; }

private:
  /** Bytes by which a bound is exceeded. */
  size_t Excess() const;

  ConnectionBudgetOptions mOptions;
  std::unordered_map<ConnectionId, ConnectionMemory> mConnections;
  size_t mTotalBytes = 0;
  size_t mUnadmittedBytes = 0;
};

} // namespace trefoilarch
