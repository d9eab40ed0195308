#pragma once

#include "libtrefoilarch/buffering/bufferbudget.h"

#include <cstddef>
#include <memory>

namespace trefoilgate {

/** A body on its way to an upstream, counted in the budget until it is written
 * or given up. */
class BodyTransfer
{
public:
  BodyTransfer(std::shared_ptr<trefoilarch::BufferBudget> aBudget,
               trefoilarch::StreamId aId,
               const trefoilarch::UpstreamId& aUpstream,
               size_t aBytes);
  ~BodyTransfer();
  BodyTransfer(const BodyTransfer&) = delete;
  BodyTransfer& operator=(const BodyTransfer&) = delete;

  trefoilarch::StreamId Id() const { return mId; }
  /** Sets how many bytes of the body have been written so far. */
  void SetWritten(size_t aBytes);

private:
  std::shared_ptr<trefoilarch::BufferBudget> mBudget;
  trefoilarch::StreamId mId;
  size_t mWritten = 0;
};

} // namespace trefoilgate
