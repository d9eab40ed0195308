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

/** One condition of a transaction, on a row's create or change revision. */
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

/** Rows to put and delete if every condition holds. */
struct TableTransaction
{
  std::vector<TableCondition> mConditions;
  std::vector<std::pair<std::string, std::string>> mPuts;
  std::vector<std::string> mDeletes;
  /** Rows to read where a condition does not hold. */
  std::vector<std::string> mReadsIfRefused;
};

/** How a write to the platform ended. */
enum class WriteOutcome
{
  Done,
  Refused, /**< a condition did not hold; nothing was written */
  NotDone, /**< surely not written, for another reason */
  Unknown, /**< the write may have taken effect, now or later */
};

/** How a transaction ended. */
struct CommitResult
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
  /** Where refused: a place for each of mReadsIfRefused. */
  std::vector<std::optional<TableRow>> mFound;
  /** Where done: the change revision of the rows that were put. */
  int64_t mRevision = 0;
};

/** What reading an object gave. */
struct ObjectFound
{
  bool mReached = false;
  std::optional<std::string> mBody; /**< empty where there is no such object */
};

/** What reading the host list gave. */
struct HostsRead
{
  /** Empty where the list is still the one that the tag names. */
  std::optional<Membership> mMembership;
  std::string mTag; /**< empty where the platform gives none */
  size_t mBytes = 0;
};

struct PlatformClientOptions
{
  std::string mUrl; /**< http://ADDRESS:PORT */
  Millis mTimeout{ 2000 };
};

/**
 * The platform's table (the JSON form of etcd v3), object store (path-style
 * S3) and host list (Prometheus HTTP service discovery). Each call blocks
 * for at most the timeout. May be used from several threads.
 */
class PlatformClient
{
public:
  explicit PlatformClient(PlatformClientOptions aOptions);

  /** Rows with aFrom <= key < aEnd in order; none where not answered. */
  std::optional<std::vector<TableRow>> ReadRange(const std::string& aFrom,
                                                 const std::string& aEnd,
                                                 size_t aLimit) const;
  CommitResult Commit(const TableTransaction& aTransaction) const;
  WriteOutcome DeleteRange(const std::string& aFrom,
                           const std::string& aEnd) const;

  /** Keys that begin with the prefix, in order; none where not answered. */
  std::optional<std::vector<std::string>> ListObjects(
    const std::string& aPrefix) const;
  ObjectFound ReadObject(const std::string& aKey) const;
  WriteOutcome WriteObject(const std::string& aKey, std::string aBody) const;
  WriteOutcome DeleteObject(const std::string& aKey) const;

  /**
   * The host list; none where not answered or not understood. A list that is
   * still the one of aKnownTag is not sent again, by a platform that gives
   * its lists tags (RFC 9110, ETag and If-None-Match).
   */
  std::optional<HostsRead> ReadHosts(const std::string& aKnownTag = "") const;

private:
  std::optional<trefoilio::HttpReply> Send(
    std::string aMethod,
    const std::string& aPath,
    std::string aBody,
    trefoilio::HttpHeaders aMore = {}) const;

  PlatformClientOptions mOptions;
};

/** Reads the body of the host list; none where it is not understood. */
std::optional<Membership>
ParseHostList(const std::string& aText);

} // namespace trefoilarch
