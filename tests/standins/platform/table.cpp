#include "table.h"

#include "base64.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace standin {

using nlohmann::json;

namespace {

std::string
DecodeField(const json& aRequest, const char* aField)
{
  return DecodeBase64(aRequest.value(aField, ""));
}

/** Reads an int64 field: a string in this format; numbers are accepted too. */
int64_t
ReadInt64(const json& aRequest, const char* aField)
{
  const auto field = aRequest.find(aField);
  if (field == aRequest.end()) {
    return 0;
  }
  return field->is_string() ? std::stoll(field->get<std::string>())
                            : field->get<int64_t>();
}

/** Returns the first row of a range and the one after the last. */
template<typename Rows>
auto
FindRange(Rows& aRows, const json& aRequest)
{
  const std::string key = DecodeField(aRequest, "key");
  const std::string end = DecodeField(aRequest, "range_end");
  auto first = aRows.lower_bound(key);
  if (end.empty()) {
    auto last = aRows.find(key);
    first = last;
    return std::pair(first, last == aRows.end() ? last : std::next(last));
  }
  const bool toTheEnd = end == std::string(1, '\0');
  auto last = toTheEnd ? aRows.end() : aRows.lower_bound(end);
  return std::pair(first, toTheEnd || key < end ? last : first);
}

bool
Compare(int64_t aLeft, const std::string& aResult, int64_t aRight)
{
  if (aResult == "GREATER") {
    return aLeft > aRight;
  }
  if (aResult == "LESS") {
    return aLeft < aRight;
  }
  if (aResult == "NOT_EQUAL") {
    return aLeft != aRight;
  }
  return aLeft == aRight;
}

} // namespace

json
Table::Run(const std::string& aOperation, const json& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (aOperation == "range") {
    return WithHeader(Range(aRequest));
  }
  if (aOperation == "put") {
    json reply = Put(aRequest, mRevision + 1);
    ++mRevision;
    return WithHeader(std::move(reply));
  }
  if (aOperation == "deleterange") {
    json reply = DeleteRange(aRequest);
    mRevision += reply.contains("deleted") ? 1 : 0;
    return WithHeader(std::move(reply));
  }
  if (aOperation == "txn") {
    return WithHeader(Transaction(aRequest));
  }
  throw std::invalid_argument("no such operation");
}

json
Table::Range(const json& aRequest) const
{
  const auto [first, last] = FindRange(mRows, aRequest);
  const int64_t limit = ReadInt64(aRequest, "limit");
  const bool keysOnly = aRequest.value("keys_only", false);
  json reply = json::object();
  int64_t count = 0;
  for (auto row = first; row != last; ++row, ++count) {
    if (limit != 0 && count >= limit) {
      reply["more"] = true;
      continue;
    }
    json found = { { "key", EncodeBase64(row->first) },
                   { "create_revision",
                     std::to_string(row->second.mCreateRevision) },
                   { "mod_revision", std::to_string(row->second.mModRevision) },
                   { "version", std::to_string(row->second.mVersion) } };
    if (!keysOnly) {
      found["value"] = EncodeBase64(row->second.mValue);
    }
    reply["kvs"].push_back(std::move(found));
  }
  if (count != 0) {
    reply["count"] = std::to_string(count);
  }
  return reply;
}

json
Table::Put(const json& aRequest, int64_t aRevision)
{
  const std::string key = DecodeField(aRequest, "key");
  if (key.empty()) {
    throw std::invalid_argument("key is not provided");
  }
  Row& row = mRows[key];
  row.mValue = DecodeField(aRequest, "value");
  row.mCreateRevision = row.mVersion == 0 ? aRevision : row.mCreateRevision;
  row.mModRevision = aRevision;
  ++row.mVersion;
  return json::object();
}

json
Table::DeleteRange(const json& aRequest)
{
  const auto [first, last] = FindRange(mRows, aRequest);
  const auto deleted = std::distance(first, last);
  mRows.erase(first, last);
  json reply = json::object();
  if (deleted != 0) {
    reply["deleted"] = std::to_string(deleted);
  }
  return reply;
}

bool
Table::ConditionHolds(const json& aCompare) const
{
  const auto row = mRows.find(DecodeField(aCompare, "key"));
  const Row found = row == mRows.end() ? Row() : row->second;
  const std::string target = aCompare.value("target", "VERSION");
  const std::string result = aCompare.value("result", "EQUAL");
  if (target == "CREATE") {
    return Compare(
      found.mCreateRevision, result, ReadInt64(aCompare, "create_revision"));
  }
  if (target == "MOD") {
    return Compare(
      found.mModRevision, result, ReadInt64(aCompare, "mod_revision"));
  }
  if (target == "VERSION") {
    return Compare(found.mVersion, result, ReadInt64(aCompare, "version"));
  }
  throw std::invalid_argument("no such compare target");
}

json
Table::Transaction(const json& aRequest)
{
  bool conditionsHold = true;
  for (const json& compare : aRequest.value("compare", json::array())) {
    conditionsHold = conditionsHold && ConditionHolds(compare);
  }
  const std::map<std::string, Row> rowsBefore = mRows;
  json responses = json::array();
  bool wrote = false;
  try {
    for (const json& subrequest : aRequest.value(
           conditionsHold ? "success" : "failure", json::array())) {
      responses.push_back(RunSubrequest(subrequest, mRevision + 1));
      wrote = wrote || !responses.back().contains("response_range");
    }
  } catch (...) {
    mRows = rowsBefore;
    throw;
  }
  mRevision += wrote ? 1 : 0;
  json reply = { { "responses", responses } };
  if (conditionsHold) {
    reply["succeeded"] = true;
  }
  return reply;
}

json
Table::RunSubrequest(const json& aSubrequest, int64_t aRevision)
{
  if (aSubrequest.contains("request_put")) {
    return { { "response_put", Put(aSubrequest["request_put"], aRevision) } };
  }
  if (aSubrequest.contains("request_range")) {
    return { { "response_range", Range(aSubrequest["request_range"]) } };
  }
  if (aSubrequest.contains("request_delete_range")) {
    return { { "response_delete_range",
               DeleteRange(aSubrequest["request_delete_range"]) } };
  }
  throw std::invalid_argument("no such request in a transaction");
}

json
Table::WithHeader(json aReply) const
{
  aReply["header"] = { { "cluster_id", "1" },
                       { "member_id", "1" },
                       { "revision", std::to_string(mRevision) },
                       { "raft_term", "1" } };
  return aReply;
}

bool
IsWrite(const std::string& aOperation, const json& aRequest)
{
  if (aOperation != "txn") {
    return aOperation != "range";
  }
  for (const char* branch : { "success", "failure" }) {
    for (const json& subrequest : aRequest.value(branch, json::array())) {
      if (!subrequest.contains("request_range")) {
        return true;
      }
    }
  }
  return false;
}

} // namespace standin
