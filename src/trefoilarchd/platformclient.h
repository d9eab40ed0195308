#pragma once

#include "libtrefoilarch/membership.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilarch {

/** One row of the platform's table. */
struct TableRow
{
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
};

/** A transaction's condition on a row's create or modification revision. */
struct TableCondition
{
  enum class Target
  {
    CreateRevision,
    ModRevision,
  };
  enum class Relation
  {
    Equal,
    Greater,
  };

  std::string mKey;
  Target mTarget = Target::CreateRevision;
  Relation mRelation = Relation::Equal;
  int64_t mValue = 0;
};

/** Rows to put and delete if every condition is met. */
struct TableTransaction
{
  std::vector<TableCondition> mConditions;
  std::vector<std::pair<std::string, std::string>> mPuts;
  std::vector<std::string> mDeletes;
  /** Rows to read if a condition is not met. */
  std::vector<std::string> mReadsIfRefused;
};

/** The outcome of a write to the platform. */
enum class WriteOutcome
{
  Done,
  Refused, /**< a condition was not met; nothing was written */
  NotDone, /**< not written, for another reason */
  Unknown, /**< the write may have taken effect, now or later */
};

/** The result of a transaction. */
struct CommitResult
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
  /** If refused: one element for each of mReadsIfRefused. */
  std::vector<std::optional<TableRow>> mFound;
  /** If done: the modification revision of the rows that were put. */
  int64_t mRevision = 0;
};

/** The result of reading an object. */
struct ObjectReadResult
{
  bool mReached = false;
  std::optional<std::string> mBody; /**< nullopt if there is no such object */
};

/** The result of reading the host list. */
struct HostListResult
{
  /** Nullopt if the list still has the tag that was passed. */
  std::optional<Membership> mMembership;
  std::string mTag; /**< empty if the platform sends none */
  size_t mBytes = 0;
};

struct PlatformClientOptions
{
  std::string mUrl; /**< http://ADDRESS:PORT */
  Millis mTimeout{ 2000 };
  /** Of a reply's body; a longer reply is none. */
  size_t mMaxReplyBytes = 8388608;
};

/**
 * Client of the platform's table (etcd v3 JSON API), object store (path-style
 * S3) and host list (Prometheus HTTP service discovery). Each call blocks
 * for at most the timeout. Thread-safe.
 */
class PlatformClient
{
public:
  explicit PlatformClient(PlatformClientOptions aOptions);

  /** Returns rows with aFrom <= key < aEnd, in order; nullopt on failure. */
  std::optional<std::vector<TableRow>> ReadRange(const std::string& aFrom,
                                                 const std::string& aEnd,
                                                 size_t aLimit) const;
  CommitResult Commit(const TableTransaction& aTransaction) const;
  WriteOutcome DeleteRange(const std::string& aFrom,
                           const std::string& aEnd) const;

  /** Returns keys with the prefix, in order; nullopt on failure. */
  std::optional<std::vector<std::string>> ListObjects(
    const std::string& aPrefix) const;
  ObjectReadResult ReadObject(const std::string& aKey) const;
  WriteOutcome WriteObject(const std::string& aKey, std::string aBody) const;
  WriteOutcome DeleteObject(const std::string& aKey) const;

  /**
   * Reads the host list; nullopt on failure or an invalid list. A platform
   * that sends tags does not resend a list that still has aPreviousTag (RFC
   * 9110, ETag and If-None-Match).
   */
  std::optional<HostListResult> ReadHosts(
    const std::string& aPreviousTag = "") const;

private:
  std::optional<trefoilio::HttpReply> Send(
    std::string aMethod,
    const std::string& aPath,
    std::string aBody,
    trefoilio::HttpHeaders aExtraHeaders = {}) const;

  PlatformClientOptions mOptions;
};

/** Parses the body of the host list; nullopt if it is invalid. */
std::optional<Membership>
ParseHostList(const std::string& aText);

} // namespace trefoilarch
