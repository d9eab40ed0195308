#include "claimstore.h"

#include "tablekeys.h"

namespace trefoilarch {

namespace {

const std::string kPrefix = "claims/";
/** A write checks its own epoch, the one before and the next. */
constexpr uint64_t kEpochsChecked = 3;

std::string
EpochPrefix(uint64_t aEpoch)
{
  return kPrefix + PaddedNumber(aEpoch) + "/";
}

std::string
RowKey(uint64_t aEpoch, const std::string& aKey)
{
  return EpochPrefix(aEpoch) + aKey;
}

void
AddWrite(TableTransaction& aTransaction, const ClaimWrite& aWrite)
{
  for (uint64_t back = 0; back < kEpochsChecked; ++back) {
    const uint64_t epoch = aWrite.mEpoch + 1 - back;
    const std::string key = RowKey(epoch, aWrite.mKey);
    TableCondition condition{ .mKey = key };
    const auto& replaced = aWrite.mReplaces;
    if (replaced && replaced->mEpoch == epoch) {
      condition.mTarget = TableCondition::Target::ModRevision;
      condition.mValue = replaced->mRevision;
      if (epoch != aWrite.mEpoch) {
        aTransaction.mDeletes.push_back(key);
      }
    }
    aTransaction.mConditions.push_back(std::move(condition));
    aTransaction.mReadsIfRefused.push_back(key);
  }
  aTransaction.mPuts.emplace_back(RowKey(aWrite.mEpoch, aWrite.mKey),
                                  aWrite.mText);
}

/** Returns the existing claim for one write of the batch, if any. */
std::optional<FoundClaim>
FoundFor(const ClaimWrite& aWrite, const CommitResult& aResult, size_t aIndex)
{
  for (uint64_t back = 0; back < kEpochsChecked; ++back) {
    const auto& row = aResult.mFound.at(aIndex * kEpochsChecked + back);
    if (row) {
      return FoundClaim{ aWrite.mEpoch + 1 - back,
                         row->mModRevision,
                         row->mValue };
    }
  }
  return std::nullopt;
}

} // namespace

ClaimStore::ClaimStore(std::shared_ptr<const PlatformClient> aPlatform)
  : mPlatform(std::move(aPlatform))
{
}

ClaimCommit
ClaimStore::Commit(const CommitClaims& aAction) const
{
  TableTransaction transaction;
  for (const ClaimWrite& write : aAction.mWrites) {
    AddWrite(transaction, write);
  }
  const CommitResult result = mPlatform->Commit(transaction);
  ClaimCommit commit;
  if (result.mOutcome == WriteOutcome::Done) {
    commit.mOutcome = ClaimCommitOutcome::Done;
  }
  if (result.mOutcome == WriteOutcome::Refused) {
    commit.mOutcome = ClaimCommitOutcome::Refused;
    size_t index = 0;
    for (const ClaimWrite& write : aAction.mWrites) {
      commit.mFound.push_back(FoundFor(write, result, index++));
    }
  }
  return commit;
}

void
ClaimStore::Expire(const ExpireClaims& aAction) const
{
  mPlatform->DeleteRange(kPrefix, EpochPrefix(aAction.mBelowEpoch));
}

} // namespace trefoilarch
