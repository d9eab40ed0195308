#include "claimmessages.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

using Json = nlohmann::json;

std::string
ClaimRowToText(const ClaimRow& aRow)
{
  return Json{
    { "request", aRow.mRequest.Text() },
    { "address", aRow.mAddress },
    { "fingerprint", aRow.mFingerprint }
  }.dump();
}

std::optional<ClaimRow>
ClaimRowFromText(const std::string& aText)
{
  try {
    const Json json = Json::parse(aText);
    ClaimRow row;
    row.mRequest = RequestId::FromText(json.at("request").get<std::string>());
    row.mAddress = json.at("address").get<std::string>();
    row.mFingerprint = json.at("fingerprint").get<std::string>();
    return row;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace trefoilarch
