#include "changesender.h"

#include "operatorclient.h"

#include <chrono>
#include <random>
#include <thread>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

constexpr const char* kChangesPath = "/v1/policy/changes";
constexpr int kMaxQueries = 3;
constexpr std::chrono::milliseconds kQueryInterval{ 500 };
constexpr int kStatusConflict = 409;
constexpr int kStatusOk = 200;

std::string
RandomId()
{
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr int length = 32;
  std::random_device device;
  std::uniform_int_distribution<size_t> draw(0, digits.size() - 1);
  std::string id;
  for (int i = 0; i < length; ++i) {
    id += digits[draw(device)];
  }
  return id;
}

std::string
FormatWarnings(const json& aBody)
{
  std::string text;
  for (const json& warning : aBody.value("warnings", json::array())) {
    text += "\nwarning: " +
            (warning.is_string() ? warning.get<std::string>() : warning.dump());
  }
  return text;
}

std::string
FormatConflicts(const json& aBody)
{
  std::string text = "conflict: another change came first; nothing was applied";
  for (const json& conflict : aBody.value("conflicts", json::array())) {
    text += "\n  " + conflict.value("object", "") + " was changed in version " +
            std::to_string(conflict.value("changed_in", uint64_t{ 0 })) +
            " by " + conflict.value("by", "");
  }
  return text;
}

std::string
FormatRefusal(const json& aBody)
{
  const json error = aBody.value("error", json::object());
  std::string text = "refused: " + error.value("message", "") + " (" +
                     error.value("kind", "") + ")";
  for (const json& fault : aBody.value("faults", json::array())) {
    text +=
      "\n  " + fault.value("field", "") + ": " + fault.value("reason", "");
  }
  return text;
}

ChangeReport
UnknownReport(const std::string& aId)
{
  return { .mCode = ExitCode::Unknown,
           .mText = "unknown: the change may or may not have been accepted; "
                    "query it with: trefoilarchctl policy ask " +
                    aId,
           .mJson = { { "status", "unknown" }, { "id", aId } } };
}

ChangeReport
UnreachableReport(const std::string& aId)
{
  const std::string text =
    "unreachable: no operator port answered; nothing was applied";
  return { .mCode = ExitCode::Unreachable,
           .mText = text,
           .mJson = { { "status", "unreachable" }, { "id", aId } } };
}

ChangeReport
ReportFromAnswer(const Answer& aAnswer, const std::string& aId)
{
  json body = json::parse(aAnswer.mBody, nullptr, false);
  if (!body.is_object()) {
    return UnknownReport(aId);
  }
  const std::string status = body.value("status", "");
  if (aAnswer.mStatus == kStatusOk && status == "accepted") {
    const uint64_t version = body.value("version", uint64_t{ 0 });
    std::string text = "accepted as version " + std::to_string(version);
    text += FormatWarnings(body);
    return { .mCode = ExitCode::Done,
             .mText = std::move(text),
             .mJson = std::move(body) };
  }
  if (aAnswer.mStatus == kStatusOk && status == "not_accepted") {
    return { .mCode = ExitCode::Refused,
             .mText = "not accepted: nothing was applied, and the change " +
                      aId + " can no longer be accepted",
             .mJson = std::move(body) };
  }
  if (aAnswer.mStatus == kStatusConflict) {
    std::string text = FormatConflicts(body);
    return { .mCode = ExitCode::Conflict,
             .mText = std::move(text),
             .mJson = std::move(body) };
  }
  if (status == "unknown" || !body.contains("error")) {
    return UnknownReport(aId);
  }
  const bool unavailable =
    body["error"].value("kind", "") == "platform_unavailable";
  std::string text = FormatRefusal(body);
  return { .mCode = unavailable ? ExitCode::Unreachable : ExitCode::Refused,
           .mText = std::move(text),
           .mJson = std::move(body) };
}

} // namespace

ChangeReport
QueryChange(OperatorClient& aClient, const std::string& aId)
{
  ChangeReport report = UnknownReport(aId);
  for (int i = 0; i < kMaxQueries; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(kQueryInterval);
    }
    const Answer answer = aClient.Get(std::string(kChangesPath) + "/" + aId);
    if (answer.mKind == Answer::Kind::Complete) {
      report = ReportFromAnswer(answer, aId);
    }
    if (report.mCode != ExitCode::Unknown &&
        report.mCode != ExitCode::Unreachable) {
      return report;
    }
  }
  return report.mCode == ExitCode::Unreachable ? UnknownReport(aId) : report;
}

ChangeReport
ProposeChange(OperatorClient& aClient, const ChangeProposal& aOrder)
{
  const std::string id = RandomId();
  const json base = aOrder.mBaseVersion ? json(*aOrder.mBaseVersion) : json();
  const json change{ { "id", id },
                     { "author", aOrder.mAuthor },
                     { "base_version", base },
                     { "operations", aOrder.mOperations } };
  const Answer answer = aClient.Post(kChangesPath, change.dump());
  if (answer.mKind == Answer::Kind::NeverSent) {
    return UnreachableReport(id);
  }
  if (answer.mKind == Answer::Kind::Lost) {
    return QueryChange(aClient, id);
  }
  ChangeReport report = ReportFromAnswer(answer, id);
  return report.mCode == ExitCode::Unknown ? QueryChange(aClient, id) : report;
}

} // namespace trefoilarchctl
