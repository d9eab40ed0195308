#include "leasestore.h"

namespace trefoilarch {

LeaseStore::LeaseStore(std::shared_ptr<const PlatformClient> aPlatform)
  : mPlatform(std::move(aPlatform))
{
}

LeaseFound
LeaseStore::Read(const std::string& aKey) const
{
  const std::string end = aKey + '\0';
  const auto rows = mPlatform->ReadRange(aKey, end, 1);
  if (!rows) {
    return {};
  }
  if (rows->empty()) {
    return { true, 0, "" };
  }
  return { true, rows->front().mModRevision, rows->front().mValue };
}

LeaseWriteResult
LeaseStore::Write(const std::string& aKey, const WriteLease& aWrite) const
{
  const bool absent = aWrite.mRevision == 0;
  TableTransaction transaction;
  transaction.mConditions = {
    { .mKey = aKey,
      .mTarget = absent ? TableCondition::Target::CreateRevision
                        : TableCondition::Target::ModRevision,
      .mValue = aWrite.mRevision },
  };
  transaction.mPuts = { { aKey, aWrite.mText } };
  const CommitResult result = mPlatform->Commit(transaction);
  switch (result.mOutcome) {
    case WriteOutcome::Done:
      return { LeaseWriteOutcome::Done, result.mRevision };
    case WriteOutcome::Refused:
    case WriteOutcome::NotDone:
      return { LeaseWriteOutcome::Refused, 0 };
    case WriteOutcome::Unknown:
      break;
  }
  return {};
}

} // namespace trefoilarch
