#include "policystore.h"

#include "tablekeys.h"

#include <algorithm>

namespace trefoilarch {

namespace {

const std::string kLogPrefix = "policy/log/";
/** The exclusive end of the log's keys: '0' follows '/'. */
const std::string kLogEnd = "policy/log0";
const std::string kSnapshotPrefix = "policy/snapshot/";

std::string
RowKey(uint64_t aVersion)
{
  return kLogPrefix + PaddedNumber(aVersion);
}

/** Returns the version in a key with the given prefix, or 0. */
uint64_t
VersionOf(const std::string& aKey, const std::string& aPrefix)
{
  const bool valid =
    aKey.size() == aPrefix.size() + kKeyDigits && aKey.starts_with(aPrefix) &&
    aKey.find_first_not_of("0123456789", aPrefix.size()) == std::string::npos;
  return valid ? std::stoull(aKey.substr(aPrefix.size())) : 0;
}

} // namespace

PolicyStore::PolicyStore(std::shared_ptr<const PlatformClient> aPlatform)
  : mPlatform(std::move(aPlatform))
{
}

std::optional<std::vector<LogRow>>
PolicyStore::Read(const ReadLog& aAction) const
{
  const auto found =
    mPlatform->ReadRange(RowKey(aAction.mAfter + 1), kLogEnd, aAction.mLimit);
  if (!found) {
    return std::nullopt;
  }
  std::vector<LogRow> rows;
  for (const TableRow& row : *found) {
    rows.push_back({ VersionOf(row.mKey, kLogPrefix), row.mValue });
  }
  return rows;
}

InsertOutcome
PolicyStore::Insert(const InsertLogRow& aAction) const
{
  const uint64_t version = aAction.mRow.mVersion;
  const bool first = version == 1;
  TableTransaction transaction;
  transaction.mConditions = {
    { .mKey = RowKey(version) },
    { .mKey = RowKey(version - 1),
      .mRelation = first ? TableCondition::Relation::Equal
                         : TableCondition::Relation::Greater },
  };
  transaction.mPuts = { { RowKey(version), aAction.mRow.mText } };
  if (first) {
    transaction.mPuts.emplace_back(RowKey(0), "{}");
  }
  switch (mPlatform->Commit(transaction).mOutcome) {
    case WriteOutcome::Done:
      return InsertOutcome::Inserted;
    case WriteOutcome::Refused:
      return InsertOutcome::Refused;
    case WriteOutcome::NotDone:
      return InsertOutcome::NotSent;
    case WriteOutcome::Unknown:
      break;
  }
  return InsertOutcome::Unknown;
}

SnapshotReadResult
PolicyStore::NewestSnapshot() const
{
  const auto keys = mPlatform->ListObjects(kSnapshotPrefix);
  if (!keys) {
    return {};
  }
  if (keys->empty()) {
    return { true, "" };
  }
  const std::string newest = *std::max_element(keys->begin(), keys->end());
  ObjectReadResult found = mPlatform->ReadObject(newest);
  return { found.mBody.has_value(), found.mBody.value_or("") };
}

bool
PolicyStore::Write(const WriteSnapshot& aAction) const
{
  const std::string key = kSnapshotPrefix + PaddedNumber(aAction.mVersion);
  return mPlatform->WriteObject(key, aAction.mText) == WriteOutcome::Done;
}

void
PolicyStore::Compact(const CompactLog& aAction) const
{
  mPlatform->DeleteRange(RowKey(1), RowKey(aAction.mRowsBelow));
  const auto keys = mPlatform->ListObjects(kSnapshotPrefix);
  for (const std::string& key : keys.value_or(std::vector<std::string>())) {
    const uint64_t version = VersionOf(key, kSnapshotPrefix);
    if (version != 0 && version < aAction.mSnapshotsBelow) {
      mPlatform->DeleteObject(key);
    }
  }
}

} // namespace trefoilarch
