#include "decisionlog.h"

#include "bootclock.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <unistd.h>

namespace trefoilgate {

using trefoilarch::Millis;

namespace {

constexpr Millis kSecond{ 1000 };

/** How long the writer waits for a line before it checks for shutdown. */
constexpr Millis kWriterPollInterval{ 5000 };

/** Size up to which lines are gathered into one write. */
constexpr size_t kMaxBatchBytes = 32768;

std::string
JsonText(const nlohmann::ordered_json& aValue)
{
  // Callers may send any bytes; invalid UTF-8 is replaced.
  constexpr auto kReplace = nlohmann::ordered_json::error_handler_t::replace;
  return aValue.dump(-1, ' ', false, kReplace);
}

/** Longer texts of callers and others are cut off. */
constexpr size_t kMaxTextBytes = 256;

bool
IsLongText(const nlohmann::ordered_json& aValue)
{
  return aValue.is_string() &&
         aValue.get_ref<const std::string&>().size() > kMaxTextBytes;
}

std::string
BoundedText(const nlohmann::ordered_json& aFields)
{
  if (std::none_of(aFields.begin(), aFields.end(), IsLongText)) {
    return JsonText(aFields);
  }
  nlohmann::ordered_json fields = aFields;
  for (nlohmann::ordered_json& each : fields) {
    if (IsLongText(each)) {
      each.get_ref<std::string&>().resize(kMaxTextBytes);
    }
  }
  return JsonText(fields);
}

/** Writes all of the text; gives up if standard output is closed. */
void
WriteOut(const std::string& aText)
{
  size_t offset = 0;
  while (offset < aText.size()) {
    const ssize_t written =
      write(STDOUT_FILENO, aText.data() + offset, aText.size() - offset);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;
    }
    offset += static_cast<size_t>(written);
  }
}

} // namespace

DecisionLog::DecisionLog(DecisionLogOptions aOptions)
  : mOptions(std::move(aOptions))
  , mProcess(",\"process\":" + JsonText(mOptions.mProcess))
  , mRing(mOptions.mRingCapacity)
  , mWriter([this] { Run(); })
{
}

DecisionLog::~DecisionLog()
{
  mRing.Close();
  mWriter.join();
}

void
DecisionLog::Write(LineKind aKind,
                   const char* aEvent,
                   const nlohmann::ordered_json& aFields)
{
  const Millis now = BootNow();
  if (!IsWithinBudget(aKind, now)) {
    mLeftOut++;
    mUnreported++;
    return;
  }
  // Merging all into one object before it is serialised takes twice as long.
  std::string line = "{\"t_ms\":" + std::to_string(now.Count());
  line += mProcess;
  line += ",\"event\":\"";
  line += aEvent;
  line += "\",";
  if (mUnreported > 0) {
    line += "\"lines_left_out\":" + std::to_string(mUnreported) + ",";
  }
  const std::string fields = BoundedText(aFields);
  line.append(fields, 1);
  line += "\n";
  if (mRing.TryPush(std::move(line))) {
    mUnreported = 0;
  } else {
    mLeftOut++;
    mUnreported++;
  }
}

bool
DecisionLog::IsWithinBudget(LineKind aKind, Millis aNow)
{
  Budget& budget = mBudgets[aKind];
  if (aNow - budget.mSecondStart >= kSecond) {
    budget.mSecondStart = aNow;
    budget.mLines = 0;
  }
  const uint32_t limit = aKind == LineKind::Success
                           ? mOptions.mSuccessesPerSecond
                           : mOptions.mOthersPerSecond;
  if (budget.mLines >= limit) {
    return false;
  }
  budget.mLines++;
  return true;
}

void
DecisionLog::Run()
{
  for (;;) {
    std::optional<std::string> line = mRing.PopFor(kWriterPollInterval);
    if (!line) {
      if (mRing.Closed()) {
        return;
      }
      continue;
    }
    std::string batch = std::move(*line);
    while (batch.size() < kMaxBatchBytes) {
      std::optional<std::string> next = mRing.PopFor(Millis(0));
      if (!next) {
        break;
      }
      batch += *next;
    }
    WriteOut(batch);
  }
}

} // namespace trefoilgate
