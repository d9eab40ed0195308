#pragma once

#include "libtrefoilarch/buffering/uploadbudget.h"

#include <cstddef>
#include <memory>

namespace trefoilgate {

/** The memory of one request, counted in the budget until nobody needs the
 * request's body any more. */
class UploadMemory
{
public:
  UploadMemory(std::shared_ptr<trefoilarch::UploadBudget> aBudget,
               trefoilarch::UploadId aId);
  ~UploadMemory();
  UploadMemory(const UploadMemory&) = delete;
  UploadMemory& operator=(const UploadMemory&) = delete;

  trefoilarch::UploadId Id() const { return mId; }
  /** Sets what is needed; see UploadBudget::Request(). */
  bool Request(trefoilarch::UploadNeed aNeed);
  /** The request is complete and needs no more than these bytes. */
  void Shrink(size_t aBytes);
  bool IsOverdue() const;
  bool IsTooSlow(size_t aReceivedBytes) const;

private:
  std::shared_ptr<trefoilarch::UploadBudget> mBudget;
  trefoilarch::UploadId mId;
  trefoilarch::UploadNeed mNeed;
};

} // namespace trefoilgate
