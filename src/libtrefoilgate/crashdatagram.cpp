#include "crashdatagram.h"

#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the kind of message and its version. */
constexpr const char* kFormat = "trefoil-crash-1";

/** A longer age is a mistake; some days, in milliseconds. */
constexpr uint64_t kMostAgeMs = 1000000000;

/** Requests that one message may name. */
constexpr size_t kMostNamed = 256;

void
Append(Json& aList, const RequestFingerprint& aRequest)
{
  aList.push_back(aRequest.mHigh);
  aList.push_back(aRequest.mLow);
}

bool
IsAge(const Json& aValue)
{
  return IsAtMost(aValue, kMostAgeMs);
}

/** Whether it is a list of so many numbers a request. */
bool
AreNumbers(const Json& aValue, size_t aEach)
{
  return aValue.is_array() && aValue.size() % aEach == 0 &&
         aValue.size() <= kMostNamed * aEach &&
         std::all_of(aValue.begin(), aValue.end(), IsUnsigned);
}

bool
IsReport(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 4 && aValue[0].is_string() &&
         aValue[1].is_number_integer() && IsAge(aValue[2]) &&
         AreNumbers(aValue[3], 2);
}

bool
IsNews(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 5 && aValue[0] == kFormat &&
         aValue[1].is_array() && aValue[1].size() <= kMostNamed &&
         std::all_of(aValue[1].begin(), aValue[1].end(), IsReport) &&
         AreNumbers(aValue[2], 3) && AreNumbers(aValue[3], 2) &&
         AreNumbers(aValue[4], 4);
}

RequestFingerprint
RequestAt(const Json& aList, size_t aPlace)
{
  return { .mHigh = aList[aPlace].get<uint64_t>(),
           .mLow = aList[aPlace + 1].get<uint64_t>() };
}

/** Cut at the longest that is taken: a wrong one must not overflow. */
Millis
AgeAt(const Json& aList, size_t aPlace)
{
  return Millis(
    static_cast<int64_t>(std::min(aList[aPlace].get<uint64_t>(), kMostAgeMs)));
}

} // namespace

std::vector<uint8_t>
EncodeCrashUpdate(const CrashUpdate& aNews)
{
  Json reports = Json::array();
  for (const CrashReport& each : aNews.mReports) {
    Json suspects = Json::array();
    for (const RequestFingerprint& suspect : each.mSuspects) {
      Append(suspects, suspect);
    }
    reports.push_back({ each.mIncarnation.mUpstream,
                        each.mIncarnation.mStartTime,
                        ClampedMillis(each.mAge, kMostAgeMs),
                        std::move(suspects) });
  }
  Json cleared = Json::array();
  for (const AgedRequest& each : aNews.mCleared) {
    Append(cleared, each.mRequest);
    cleared.push_back(ClampedMillis(each.mAge, kMostAgeMs));
  }
  Json trials = Json::array();
  for (const RequestFingerprint& each : aNews.mKeepaliveProbes) {
    Append(trials, each);
  }
  Json held = Json::array();
  for (const QuarantineReport& each : aNews.mQuarantined) {
    Append(held, each.mRequest);
    held.push_back(ClampedMillis(each.mSuspectFor, kMostAgeMs));
    held.push_back(ClampedMillis(each.mIdleFor, kMostAgeMs));
  }
  return Json::to_msgpack(Json::array({ kFormat,
                                        std::move(reports),
                                        std::move(cleared),
                                        std::move(trials),
                                        std::move(held) }));
}

std::optional<CrashUpdate>
DecodeCrashUpdate(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsNews(json)) {
    return std::nullopt;
  }
  CrashUpdate news;
  for (const Json& each : json[1]) {
    CrashReport report{
      .mIncarnation = { .mUpstream = each[0].get<std::string>(),
                        .mStartTime = each[1].get<int64_t>() },
      .mAge = AgeAt(each, 2)
    };
    for (size_t place = 0; place < each[3].size(); place += 2) {
      report.mSuspects.push_back(RequestAt(each[3], place));
    }
    news.mReports.push_back(std::move(report));
  }
  for (size_t place = 0; place < json[2].size(); place += 3) {
    news.mCleared.push_back({ .mRequest = RequestAt(json[2], place),
                              .mAge = AgeAt(json[2], place + 2) });
  }
  for (size_t place = 0; place < json[3].size(); place += 2) {
    news.mKeepaliveProbes.push_back(RequestAt(json[3], place));
  }
  for (size_t place = 0; place < json[4].size(); place += 4) {
    news.mQuarantined.push_back({ .mRequest = RequestAt(json[4], place),
                                  .mSuspectFor = AgeAt(json[4], place + 2),
                                  .mIdleFor = AgeAt(json[4], place + 3) });
  }
  return news;
}

} // namespace trefoilgate
