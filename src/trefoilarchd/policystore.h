#pragma once

#include "platformclient.h"

#include "libtrefoilarch/policylogmessages.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Stores the change log in the platform's table and its snapshots in the
 * object store. Row `policy/log/<version>` is written if it is absent and row
 * version-1 exists. Row 0 marks that the log exists and is never deleted, so
 * a process that missed a compaction cannot write into the compacted range.
 */
class PolicyStore
{
public:
  explicit PolicyStore(std::shared_ptr<const PlatformClient> aPlatform);

  std::optional<std::vector<LogRow>> Read(const ReadLog& aAction) const;
  InsertOutcome Insert(const InsertLogRow& aAction) const;
  SnapshotReadResult NewestSnapshot() const;
  bool Write(const WriteSnapshot& aAction) const;
  void Compact(const CompactLog& aAction) const;

private:
  std::shared_ptr<const PlatformClient> mPlatform;
};

} // namespace trefoilarch
