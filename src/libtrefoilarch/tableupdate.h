#pragma once

#include "tablecheckpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** A row of a table of the store. */
struct TableRow
{
  std::string mKey;
  /** Empty if it could not be read. */
  std::string mValue;
  bool mRemoved = false;
  /** The number of a StoreVersion. */
  uint64_t mVersion = 0;

  bool operator==(const TableRow&) const = default;
};

/**
 * A change of a table that an entry has received from the store. The rows, if
 * any, are all that changed after mAfter and up to mUpTo.
 */
struct TableUpdate
{
  /** See PeerTableCheckpoint. */
  uint8_t mTable = 0;
  TableCheckpoint mCheckpoint;
  uint64_t mAfter = 0;
  uint64_t mUpTo = 0;
  std::vector<TableRow> mRows;

  bool operator==(const TableUpdate&) const = default;
};

} // namespace trefoilarch
