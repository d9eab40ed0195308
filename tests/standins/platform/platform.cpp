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
    mObjectGate.Pass(aExchange, false, [&] {
      return mObjects.List(aExchange.Parameter("prefix"));
    });
  } else if (path == "/hosts") {
    mHostGate.Pass(aExchange, false, [&] {
      return Hosts(aExchange.Header("If-None-Match"));
    });
  } else if (path == "/control") {
    HandleControl(aExchange);
  } else {
    aExchange.Send(404, R"({"error":"no such path"})");
  }
}

GateReply
Platform::Hosts(const std::string& aKnownTag)
{
  std::string text = mHosts.Text();
  std::string tag =
    "\"" + std::to_string(XXH3_64bits(text.data(), text.size())) + "\"";
  if (tag == aKnownTag) {
    return GateReply{ .mStatus = 304, .mTag = std::move(tag) };
  }
  return GateReply{ .mBody = std::move(text), .mTag = std::move(tag) };
}

void
Platform::HandleTable(Exchange& aExchange, const std::string& aOperation)
{
  const json request = json::parse(aExchange.Body(), nullptr, false);
  if (!request.is_object()) {
    aExchange.Send(400, R"({"error":"not JSON","code":3})");
    return;
  }
  mTableGate.Pass(aExchange, IsWrite(aOperation, request), [&] {
    try {
      return GateReply{ .mBody = mTable.Run(aOperation, request).dump() };
    } catch (const std::exception& error) {
      const json body = { { "error", error.what() }, { "code", 3 } };
      return GateReply{ .mStatus = 400, .mBody = body.dump() };
    }
  });
}

void
Platform::HandleObject(Exchange& aExchange, const std::string& aKey)
{
  const std::string& method = aExchange.Method();
  if (method == "PUT") {
    mObjectGate.Pass(
      aExchange, true, [&] { return mObjects.Put(aKey, aExchange.Body()); });
  } else if (method == "DELETE") {
    mObjectGate.Pass(aExchange, true, [&] { return mObjects.Delete(aKey); });
  } else {
    mObjectGate.Pass(aExchange, false, [&] { return mObjects.Get(aKey); });
  }
}

void
Platform::HandleControl(Exchange& aExchange)
{
  if (aExchange.Method() == "GET") {
    aExchange.Send(200,
                   json({ { "table", mTableGate.Counts() },
                          { "objects", mObjectGate.Counts() },
                          { "hostlist", mHostGate.Counts() } })
                     .dump());
    return;
  }
  try {
    const json order = json::parse(aExchange.Body());
    if (order.contains("host_lag_ms")) {
      mHosts.SetLag(order["host_lag_ms"].get<int64_t>());
    }
    if (order.contains("hosts")) {
      mHosts.Replace(order["hosts"]);
    }
    mTableGate.Set(order.value("table", json::object()));
    mObjectGate.Set(order.value("objects", json::object()));
    mHostGate.Set(order.value("hostlist", json::object()));
    aExchange.Send(200, "{}");
  } catch (const std::exception& error) {
    aExchange.Send(400, json({ { "error", error.what() } }).dump());
  }
}

} // namespace standin
