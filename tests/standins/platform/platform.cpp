#include "platform.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <utility>

namespace standin {

using nlohmann::json;

namespace {

const std::string kTablePrefix = "/v3/kv/";
const std::string kObjectPrefix = "/objects/";

} // namespace

void
Platform::Handle(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path.starts_with(kTablePrefix)) {
    HandleTable(aExchange, path.substr(kTablePrefix.size()));
  } else if (path.starts_with(kObjectPrefix)) {
    HandleObject(aExchange, path.substr(kObjectPrefix.size()));
  } else if (path == "/objects") {
    mObjectFaults.RunWithFaults(aExchange, false, [&] {
      return mObjects.List(aExchange.Parameter("prefix"));
    });
  } else if (path == "/hosts") {
    mHostFaults.RunWithFaults(aExchange, false, [&] {
      return Hosts(aExchange.Header("If-None-Match"));
    });
  } else if (path == "/control") {
    HandleControl(aExchange);
  } else {
    aExchange.Send(404, R"({"error":"no such path"})");
  }
}

ServiceReply
Platform::Hosts(const std::string& aIfNoneMatch)
{
  std::string text = mHosts.Text();
  std::string etag =
    "\"" + std::to_string(XXH3_64bits(text.data(), text.size())) + "\"";
  if (etag == aIfNoneMatch) {
    return ServiceReply{ .mStatus = 304, .mETag = std::move(etag) };
  }
  return ServiceReply{ .mBody = std::move(text), .mETag = std::move(etag) };
}

void
Platform::HandleTable(Exchange& aExchange, const std::string& aOperation)
{
  const json request = json::parse(aExchange.Body(), nullptr, false);
  if (!request.is_object()) {
    aExchange.Send(400, R"({"error":"not JSON","code":3})");
    return;
  }
  mTableFaults.RunWithFaults(aExchange, IsWrite(aOperation, request), [&] {
    try {
      return ServiceReply{ .mBody = mTable.Run(aOperation, request).dump() };
    } catch (const std::exception& error) {
      const json body = { { "error", error.what() }, { "code", 3 } };
      return ServiceReply{ .mStatus = 400, .mBody = body.dump() };
    }
  });
}

void
Platform::HandleObject(Exchange& aExchange, const std::string& aKey)
{
  const std::string& method = aExchange.Method();
  if (method == "PUT") {
    mObjectFaults.RunWithFaults(
      aExchange, true, [&] { return mObjects.Put(aKey, aExchange.Body()); });
  } else if (method == "DELETE") {
    mObjectFaults.RunWithFaults(
      aExchange, true, [&] { return mObjects.Delete(aKey); });
  } else {
    mObjectFaults.RunWithFaults(
      aExchange, false, [&] { return mObjects.Get(aKey); });
  }
}

void
Platform::HandleControl(Exchange& aExchange)
{
  if (aExchange.Method() == "GET") {
    aExchange.Send(200,
                   json({ { "table", mTableFaults.Counts() },
                          { "objects", mObjectFaults.Counts() },
                          { "hostlist", mHostFaults.Counts() } })
                     .dump());
    return;
  }
  try {
    const json command = json::parse(aExchange.Body());
    if (command.contains("host_lag_ms")) {
      mHosts.SetLag(command["host_lag_ms"].get<int64_t>());
    }
    if (command.contains("hosts")) {
      mHosts.Replace(command["hosts"]);
    }
    mTableFaults.Set(command.value("table", json::object()));
    mObjectFaults.Set(command.value("objects", json::object()));
    mHostFaults.Set(command.value("hostlist", json::object()));
    aExchange.Send(200, "{}");
  } catch (const std::exception& error) {
    aExchange.Send(400, json({ { "error", error.what() } }).dump());
  }
}

} // namespace standin
