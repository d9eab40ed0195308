#include "fatalsignallog.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace trefoilio {

namespace {

constexpr std::array kFatalSignals = { SIGSEGV,
                                       SIGBUS,
                                       SIGFPE,
                                       SIGILL,
                                       SIGABRT };
constexpr size_t kStackBytes = 65536;
constexpr size_t kMaxLineBytes = 512;

/** A line of the log without the signal's number, prepared in advance: a signal
 * handler may not allocate. */
struct PreparedLine
{
  std::array<char, kMaxLineBytes> mText{};
  size_t mBytes = 0;
};

PreparedLine sLine;

void
WriteFatalSignal(int aSignal)
{
  constexpr int kTen = 10;
  std::array<char, 4> end = { static_cast<char>('0' + aSignal / kTen),
                              static_cast<char>('0' + aSignal % kTen),
                              '}',
                              '\n' };
  // Nothing can be done if the line can't be written.
  ssize_t written = write(STDOUT_FILENO, sLine.mText.data(), sLine.mBytes);
  written = write(STDOUT_FILENO, end.data(), end.size());
  static_cast<void>(written);
  // The default action is in force again and ends the process.
  raise(aSignal);
}

void
Prepare(const std::string& aProcess)
{
  const std::string text = "{\"process\":" + nlohmann::json(aProcess).dump() +
                           ",\"event\":\"failed\",\"signal\":";
  sLine.mBytes = std::min(text.size(), sLine.mText.size());
  std::copy_n(text.begin(), sLine.mBytes, sLine.mText.begin());
}

} // namespace

FatalSignalLog::FatalSignalLog(const std::string& aProcess)
  : mStack(std::make_unique<char[]>(kStackBytes))
{
  Prepare(aProcess);
  const stack_t stack{ .ss_sp = mStack.get(), .ss_size = kStackBytes };
  sigaltstack(&stack, nullptr);
  struct sigaction action = {};
  action.sa_handler = WriteFatalSignal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
  for (const int each : kFatalSignals) {
    sigaction(each, &action, nullptr);
  }
}

FatalSignalLog::~FatalSignalLog()
{
  for (const int each : kFatalSignals) {
    std::signal(each, SIG_DFL);
  }
  const stack_t none{ .ss_sp = nullptr, .ss_flags = SS_DISABLE, .ss_size = 0 };
  sigaltstack(&none, nullptr);
}

} // namespace trefoilio
