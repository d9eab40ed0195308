#pragma once

#include "platformclient.h"

#include "libtrefoilarch/policylogmessages.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Keeps the change log in the platform's table and its snapshots in the
 * object store. Row `policy/log/<version>` is written if absent and only
 * after row version-1; row 0 marks that there is a log and is never deleted,
 * so a process that slept through a compaction cannot write into its gap.
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
