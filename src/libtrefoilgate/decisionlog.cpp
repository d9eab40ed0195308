#include "decisionlog.h"

#include "bootclock.h"

#include <cerrno>
#include <optional>
#include <unistd.h>

namespace trefoilgate {

using trefoilarch::Millis;

namespace {

constexpr Millis kSecond{ 1000 };

/** How long the writer waits for a line before it looks whether to end. */
constexpr Millis kWriterSpan{ 5000 };

/** Lines that are gathered into one write. */
constexpr size_t kMostBatchBytes = 32768;

std::string
JsonText(const nlohmann::ordered_json& aValue)
{
  // Callers' bytes may be anything: what is no UTF-8 is replaced.
  constexpr auto kReplace = nlohmann::ordered_json::error_handler_t::replace;
  return aValue.dump(-1, ' ', false, kReplace);
}

/** Writes all of it; gives up where standard output is gone. */
void
WriteOut(const std::string& aText)
{
  size_t done = 0;
  while (done < aText.size()) {
    const ssize_t wrote =
      write(STDOUT_FILENO, aText.data() + done, aText.size() - done);
    if (wrote < 0 && errno == EINTR) {
      continue;
    }
    if (wrote <= 0) {
      return;
    }
    done += static_cast<size_t>(wrote);
  }
}

} // namespace

DecisionLog::DecisionLog(DecisionLogOptions aOptions)
  : mOptions(std::move(aOptions))
  , mProcess(",\"process\":" + JsonText(mOptions.mProcess))
  , mRing(mOptions.mRing)
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
  if (!Allowed(aKind, now)) {
    mLeftOut++;
    mUnreported++;
    return;
  }
  // The fields are written apart from the rest: a line of 20 fields took 23
  // microseconds where they were merged into one object, and 11 to 16 so.
  std::string line = "{\"t_ms\":" + std::to_string(now.Count());
  line += mProcess;
  line += ",\"event\":\"";
  line += aEvent;
  line += "\",";
  if (mUnreported > 0) {
    line += "\"lines_left_out\":" + std::to_string(mUnreported) + ",";
  }
  const std::string fields = JsonText(aFields);
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
DecisionLog::Allowed(LineKind aKind, Millis aNow)
{
  Budget& budget = mBudgets[aKind];
  if (aNow - budget.mSecond >= kSecond) {
    budget.mSecond = aNow;
    budget.mLines = 0;
  }
  const uint32_t most = aKind == LineKind::Success
                          ? mOptions.mSuccessesPerSecond
                          : mOptions.mOthersPerSecond;
  if (budget.mLines >= most) {
    return false;
  }
  budget.mLines++;
  return true;
}

void
DecisionLog::Run()
{
  for (;;) {
    std::optional<std::string> line = mRing.PopFor(kWriterSpan);
    if (!line) {
      if (mRing.Closed()) {
        return;
      }
      continue;
    }
    std::string batch = std::move(*line);
    while (batch.size() < kMostBatchBytes) {
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
