#pragma once

#include "platformclient.h"

#include "libtrefoilarch/lease.h"

#include <memory>
#include <string>

namespace trefoilarch {

/** The result of writing a lease's row. */
struct LeaseWriteResult
{
  LeaseWriteOutcome mOutcome = LeaseWriteOutcome::Unknown;
  int64_t mRevision = 0; /**< the row's, if the write is done */
};

/** Reads and writes the rows of leases in the platform's table. */
class LeaseStore
{
public:
  explicit LeaseStore(std::shared_ptr<const PlatformClient> aPlatform);

  LeaseFound Read(const std::string& aKey) const;
  LeaseWriteResult Write(const std::string& aKey,
                         const WriteLease& aWrite) const;

private:
  std::shared_ptr<const PlatformClient> mPlatform;
};

} // namespace trefoilarch
