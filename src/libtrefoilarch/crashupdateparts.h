#pragma once

#include "crashupdate.h"

#include <cstddef>
#include <vector>

namespace trefoilarch {

/** Puts what is to be told into messages of which each fits a datagram. */
class CrashUpdateParts
{
public:
  explicit CrashUpdateParts(CrashUpdate aNews);

  std::vector<CrashUpdate> Take() { return std::move(mParts); }

private:
  void Add(CrashReport aReport);
  /** A part that has room for so many requests. */
  CrashUpdate& Room(size_t aSize);

  std::vector<CrashUpdate> mParts;
};

} // namespace trefoilarch
