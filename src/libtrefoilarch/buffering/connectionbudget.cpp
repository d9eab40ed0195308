#include "connectionbudget.h"

#include <algorithm>
#include <tuple>

namespace trefoilarch {

namespace {

/** The bound divided by this is freed in addition to the excess, so that
 * victims are not looked for at every read. */
constexpr size_t kRoomDivisor = 16;

} // namespace

ConnectionBudget::ConnectionBudget(ConnectionBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
ConnectionBudget::Set(ConnectionId aConnection, const ConnectionMemory& aMemory)
{
  ConnectionMemory& memory = mConnections[aConnection];
  mTotalBytes = mTotalBytes - memory.mBytes + aMemory.mBytes;
  mUnadmittedBytes =
    mUnadmittedBytes - memory.UnadmittedBytes() + aMemory.UnadmittedBytes();
  memory = aMemory;
}

void
ConnectionBudget::Remove(ConnectionId aConnection)
{
  Set(aConnection, {});
  mConnections.erase(aConnection);
}

size_t
ConnectionBudget::Excess() const
{
  const auto above = [](size_t aBytes, size_t aBound) {
    return aBytes - std::min(aBytes, aBound);
  };
  return std::min(above(mTotalBytes, mOptions.mTotalBytes),
                  above(mUnadmittedBytes, mOptions.mUnadmittedBytes));
}

bool
ConnectionBudget::IsExceeded() const
{
  return Excess() > 0;
}

std::vector<ConnectionId>
ConnectionBudget::Victims() const
{
  const size_t excess = Excess();
  if (excess == 0) {
    return {};
  }
  std::vector<std::tuple<bool, size_t, ConnectionId>> costliest;
  costliest.reserve(mConnections.size());
  for (const auto& [id, memory] : mConnections) {
    costliest.emplace_back(!memory.mServing, memory.UnadmittedBytes(), id);
  }
  std::sort(costliest.rbegin(), costliest.rend());
  const size_t wanted = excess + mOptions.mUnadmittedBytes / kRoomDivisor;
  size_t freed = 0;
  std::vector<ConnectionId> victims;
  for (const auto& [idle, bytes, id] : costliest) {
    if (freed >= (idle ? wanted : excess)) {
      break;
    }
    freed += bytes;
    victims.push_back(id);
  }
  return victims;
}

} // namespace trefoilarch
