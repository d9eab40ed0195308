#pragma once

#include "crashupdate.h"

#include <cstddef>
#include <vector>

namespace trefoilarch {

/** Splits an update into messages that each fit a datagram. */
class CrashUpdateParts
{
public:
  explicit CrashUpdateParts(CrashUpdate aUpdate);

  std::vector<CrashUpdate> Take() { return std::move(mParts); }

private:
  void AddReport(CrashReport aReport);
  /** Returns a message with capacity for that many more requests. */
  CrashUpdate& PartFor(size_t aSize);

  std::vector<CrashUpdate> mParts;
};

} // namespace trefoilarch
