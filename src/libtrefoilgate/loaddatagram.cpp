#include "loaddatagram.h"

#include "datagramfields.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kFormat = "trefoil-load-1";

/** Names of upstreams, services and workspaces are sent once, and reports refer
 * to them by index. A report of a demand has two. */
constexpr size_t kMaxNames =
  kMaxPerformanceReports + kMaxMemoryReports + 2 * kMaxWorkspaceDemands;

/** Maximum length in bytes of an id or name; longer ones aren't used. */
constexpr size_t kMaxNameBytes = 200;

/** Factors are sent in hundredths. */
constexpr double kHundred = 100;

/** Bounds of a speed factor in hundredths; far beyond those that are used. */
constexpr uint64_t kMinSpeedHundredths = 1;
constexpr uint64_t kMaxSpeedHundredths = 10000;

/** Upstreams state their contention in percent, up to this value. */
constexpr uint64_t kMaxContentionHundredths = 100000;

constexpr uint64_t kMaxSamples = 255;

/** No report is used after this time, in milliseconds. */
constexpr uint64_t kMaxAgeMs = 60000;

/** Unix time in milliseconds, after the year 2200; a later start is invalid. */
constexpr uint64_t kMaxStartTime = 10000000000000;

/** More tokens than any engine holds are invalid. */
constexpr uint64_t kMaxTokens = 1000000000;

/** In milliseconds of engine time per second; a million engines. */
constexpr uint64_t kMaxDemand = 1000000000;

constexpr uint64_t kMaxTier = UINT8_MAX;

/** Whether the text is valid UTF-8, which JSON output requires. */
bool
IsUtf8(const std::string& aText)
{
  using Utf8 = boost::locale::utf::utf_traits<char>;
  auto position = aText.begin();
  while (position != aText.end()) {
    const auto codePoint = Utf8::decode(position, aText.end());
    if (!boost::locale::utf::is_valid_codepoint(codePoint)) {
      return false;
    }
  }
  return true;
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes && IsUtf8(aText);
}

bool
IsNameJson(const Json& aValue)
{
  return aValue.is_string() && IsName(aValue.get_ref<const std::string&>());
}

/** Rounded and clamped to the bounds; aValue must be finite. */
uint64_t
ToBounded(double aValue, uint64_t aMin, uint64_t aMax)
{
  return static_cast<uint64_t>(std::llround(
    std::clamp(aValue, static_cast<double>(aMin), static_cast<double>(aMax))));
}

bool
CanBeSent(const UpstreamPerformanceReport& aReport)
{
  return IsName(aReport.mUpstream) && std::isfinite(aReport.mSpeedFactor) &&
         std::isfinite(aReport.mContention);
}

bool
CanBeSent(const EngineMemoryReport& aReport)
{
  return IsName(aReport.mUpstream);
}

bool
CanBeSent(const WorkspaceDemandReport& aReport)
{
  return IsName(aReport.mService) && IsName(aReport.mWorkspace) &&
         std::isfinite(aReport.mDemand) && std::isfinite(aReport.mServed);
}

/** The first aMax reports that can be sent. */
template<typename Report>
std::vector<Report>
Sendable(const std::vector<Report>& aReports, size_t aMax)
{
  std::vector<Report> sendable;
  for (const Report& each : aReports) {
    if (sendable.size() < aMax && CanBeSent(each)) {
      sendable.push_back(each);
    }
  }
  return sendable;
}

/** Collects names and gives each an index. */
class NameList
{
public:
  size_t IndexOf(const std::string& aName)
  {
    const auto [found, inserted] = mIndexes.try_emplace(aName, mNames.size());
    if (inserted) {
      mNames.push_back(aName);
    }
    return found->second;
  }
  Json Take() { return std::move(mNames); }

private:
  std::map<std::string, size_t> mIndexes;
  Json mNames = Json::array();
};

/** Numbers of the reports of each kind that are sent. */
struct ReportCounts
{
  size_t mPerformance = 0;
  size_t mMemory = 0;
  size_t mDemands = 0;

  size_t Sum() const { return mPerformance + mMemory + mDemands; }
  void ShortenLongest()
  {
    size_t& longer = mMemory > mPerformance ? mMemory : mPerformance;
    size_t& longest = mDemands > longer ? mDemands : longer;
    longest--;
  }
};

Json
PerformanceJson(const UpstreamPerformanceReport& aReport, NameList& aNames)
{
  const double start = static_cast<double>(aReport.mStartTime);
  return { aNames.IndexOf(aReport.mUpstream),
           ToBounded(start, 0, kMaxStartTime),
           ToBounded(aReport.mSpeedFactor * kHundred,
                     kMinSpeedHundredths,
                     kMaxSpeedHundredths),
           std::min<uint64_t>(aReport.mSamples, kMaxSamples),
           ToBounded(
             aReport.mContention * kHundred, 0, kMaxContentionHundredths),
           ClampedMillis(aReport.mContentionAge, kMaxAgeMs) };
}

Json
MemoryJson(const EngineMemoryReport& aReport, NameList& aNames)
{
  return { aNames.IndexOf(aReport.mUpstream),
           std::min<uint64_t>(aReport.mTokens, kMaxTokens),
           std::min<uint64_t>(aReport.mExpectedTokens, kMaxTokens) };
}

Json
DemandJson(const WorkspaceDemandReport& aReport, NameList& aNames)
{
  return { aNames.IndexOf(aReport.mService),
           aNames.IndexOf(aReport.mWorkspace),
           aReport.mTier,
           ToBounded(aReport.mDemand, 0, kMaxDemand),
           ToBounded(aReport.mServed, 0, kMaxDemand) };
}

std::vector<uint8_t>
Encode(const LoadUpdate& aUpdate, const ReportCounts& aCounts)
{
  NameList names;
  Json performance = Json::array();
  for (size_t each = 0; each < aCounts.mPerformance; ++each) {
    performance.push_back(PerformanceJson(aUpdate.mPerformance[each], names));
  }
  Json memory = Json::array();
  for (size_t each = 0; each < aCounts.mMemory; ++each) {
    memory.push_back(MemoryJson(aUpdate.mMemory[each], names));
  }
  Json demands = Json::array();
  for (size_t each = 0; each < aCounts.mDemands; ++each) {
    demands.push_back(DemandJson(aUpdate.mDemands[each], names));
  }
  return Json::to_msgpack(Json::array({ kFormat,
                                        aUpdate.mFrom,
                                        aUpdate.mProcess,
                                        aUpdate.mSequence,
                                        names.Take(),
                                        std::move(performance),
                                        std::move(memory),
                                        std::move(demands) }));
}

/** Whether the value is a list of at most aMax arrays of aLength numbers. */
bool
IsReportList(const Json& aValue, size_t aMax, size_t aLength)
{
  return aValue.is_array() && aValue.size() <= aMax &&
         std::ranges::all_of(aValue, [aLength](const Json& aReport) {
           return aReport.is_array() && aReport.size() == aLength &&
                  std::ranges::all_of(aReport, IsUnsigned);
         });
}

bool
IsPerformance(const Json& aReport, size_t aNames)
{
  return aReport[0] < aNames && IsAtMost(aReport[1], kMaxStartTime) &&
         aReport[2] >= kMinSpeedHundredths &&
         IsAtMost(aReport[2], kMaxSpeedHundredths) &&
         IsAtMost(aReport[3], kMaxSamples) &&
         IsAtMost(aReport[4], kMaxContentionHundredths) &&
         IsAtMost(aReport[5], kMaxAgeMs);
}

bool
IsMemory(const Json& aReport, size_t aNames)
{
  return aReport[0] < aNames && IsAtMost(aReport[1], kMaxTokens) &&
         IsAtMost(aReport[2], kMaxTokens);
}

bool
IsDemand(const Json& aReport, size_t aNames)
{
  return aReport[0] < aNames && aReport[1] < aNames &&
         IsAtMost(aReport[2], kMaxTier) && IsAtMost(aReport[3], kMaxDemand) &&
         IsAtMost(aReport[4], kMaxDemand);
}

bool
IsLoadUpdate(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != 8 || aValue[0] != kFormat ||
      !IsNameJson(aValue[1]) || !IsUnsigned(aValue[2]) ||
      !IsUnsigned(aValue[3]) || !aValue[4].is_array() ||
      aValue[4].size() > kMaxNames ||
      !std::ranges::all_of(aValue[4], IsNameJson) ||
      !IsReportList(aValue[5], kMaxPerformanceReports, 6) ||
      !IsReportList(aValue[6], kMaxMemoryReports, 3) ||
      !IsReportList(aValue[7], kMaxWorkspaceDemands, 5)) {
    return false;
  }
  const auto all = [names = aValue[4].size()](const Json& aReports,
                                              auto aIsReport) {
    return std::ranges::all_of(
      aReports, [&](const Json& aReport) { return aIsReport(aReport, names); });
  };
  return all(aValue[5], IsPerformance) && all(aValue[6], IsMemory) &&
         all(aValue[7], IsDemand);
}

} // namespace

std::vector<uint8_t>
EncodeLoadUpdate(const LoadUpdate& aUpdate)
{
  if (!IsName(aUpdate.mFrom)) {
    return {};
  }
  const LoadUpdate sendable{
    .mFrom = aUpdate.mFrom,
    .mProcess = aUpdate.mProcess,
    .mSequence = aUpdate.mSequence,
    .mPerformance = Sendable(aUpdate.mPerformance, kMaxPerformanceReports),
    .mMemory = Sendable(aUpdate.mMemory, kMaxMemoryReports),
    .mDemands = Sendable(aUpdate.mDemands, kMaxWorkspaceDemands)
  };
  // From all reports to none.
  std::vector<ReportCounts> counts{ { .mPerformance =
                                        sendable.mPerformance.size(),
                                      .mMemory = sendable.mMemory.size(),
                                      .mDemands = sendable.mDemands.size() } };
  while (counts.back().Sum() > 0) {
    counts.push_back(counts.back());
    counts.back().ShortenLongest();
  }
  // The size decreases, so that few encodings find the longest that fits.
  const auto fitting =
    std::ranges::partition_point(counts, [&](const ReportCounts& aCounts) {
      return Encode(sendable, aCounts).size() > kMaxLoadDatagramBytes;
    });
  return Encode(sendable, *fitting);
}

std::optional<LoadUpdate>
DecodeLoadUpdate(const std::vector<uint8_t>& aBytes)
{
  if (aBytes.size() > kMaxLoadDatagramBytes || !HasFormat(aBytes, kFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsLoadUpdate(json)) {
    return std::nullopt;
  }
  const auto nameOf = [&](const Json& aIndex) {
    return json[4][aIndex.get<size_t>()].get<std::string>();
  };
  LoadUpdate update{ .mFrom = json[1].get<std::string>(),
                     .mProcess = json[2].get<uint64_t>(),
                     .mSequence = json[3].get<uint64_t>() };
  for (const Json& each : json[5]) {
    update.mPerformance.push_back(
      { .mUpstream = nameOf(each[0]),
        .mStartTime = each[1].get<int64_t>(),
        .mSpeedFactor = each[2].get<double>() / kHundred,
        .mSamples = each[3].get<uint32_t>(),
        .mContention = each[4].get<double>() / kHundred,
        .mContentionAge = Millis(each[5].get<int64_t>()) });
  }
  for (const Json& each : json[6]) {
    update.mMemory.push_back({ .mUpstream = nameOf(each[0]),
                               .mTokens = each[1].get<uint32_t>(),
                               .mExpectedTokens = each[2].get<uint32_t>() });
  }
  for (const Json& each : json[7]) {
    update.mDemands.push_back({ .mService = nameOf(each[0]),
                                .mWorkspace = nameOf(each[1]),
                                .mTier = each[2].get<uint8_t>(),
                                .mDemand = each[3].get<double>(),
                                .mServed = each[4].get<double>() });
  }
  return update;
}

} // namespace trefoilgate
