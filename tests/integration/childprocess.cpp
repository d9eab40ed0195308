#include "childprocess.h"

#include "await.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace integration {

namespace {

int
OpenLog(const std::string& aProgram)
{
  const char* folder = std::getenv("TREFOILARCH_TEST_LOGS");
  const std::string path = folder == nullptr
                             ? std::string("/dev/null")
                             : std::string(folder) + "/" + aProgram + "-" +
                                 std::to_string(getpid()) + ".log";
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

[[noreturn]] void
ExecuteProgram(const std::vector<char*>& aArguments, int aOutput, int aLog)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t emptyMask;
  sigemptyset(&emptyMask);
  sigprocmask(SIG_SETMASK, &emptyMask, nullptr);
  dup2(aOutput, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  execv(aArguments[0], aArguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(std::string aProgram,
                           std::vector<std::string> aArguments)
  : mProgram(std::move(aProgram))
{
  std::array<int, 2> pipeEnds{};
  if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe");
  }
  aArguments.insert(aArguments.begin(),
                    std::string(TREFOILARCH_BIN) + "/" + mProgram);
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int log = OpenLog(mProgram);
  mId = fork();
  if (mId == 0) {
    ExecuteProgram(arguments, pipeEnds[1], log);
  }
  close(pipeEnds[1]);
  close(log);
  mReader = std::thread(&ChildProcess::ReadOutput, this, pipeEnds[0]);
}

ChildProcess::~ChildProcess()
{
  mHoldOutput = false;
  Kill();
  mReader.join();
}

void
ChildProcess::ReadOutput(int aFd)
{
  std::array<char, 4096> bytes;
  std::string text;
  ssize_t count = 0;
  while ((count = read(aFd, bytes.data(), bytes.size())) > 0) {
    text.append(bytes.data(), static_cast<size_t>(count));
    size_t end = 0;
    while ((end = text.find('\n')) != std::string::npos) {
      const std::lock_guard lock(mMutex);
      mLines.push_back(text.substr(0, end));
      text.erase(0, end + 1);
    }
    while (mHoldOutput) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  close(aFd);
}

bool
ChildProcess::HasPrinted(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  for (const std::string& line : mLines) {
    if (line.starts_with(aPrefix)) {
      return true;
    }
  }
  return false;
}

std::string
ChildProcess::Address(const std::string& aRole)
{
  const std::string prefix = "listening " + aRole + " ";
  const bool printed =
    Await([&] { return HasPrinted(prefix) || HasEnded(); }) &&
    HasPrinted(prefix);
  if (!printed) {
    throw std::runtime_error(mProgram + " does not listen as " + aRole);
  }
  const std::lock_guard lock(mMutex);
  for (const std::string& line : mLines) {
    if (line.starts_with(prefix)) {
      return line.substr(line.rfind(' ') + 1);
    }
  }
  return "";
}

std::vector<std::string>
ChildProcess::LinesWith(const std::string& aText) const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> lines;
  for (const std::string& line : mLines) {
    if (line.find(aText) != std::string::npos) {
      lines.push_back(line);
    }
  }
  return lines;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (!mReaped) {
    kill(mId, aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (!mReaped) {
    kill(mId, SIGKILL);
    waitpid(mId, &mStatus, 0);
    mReaped = true;
  }
}

bool
ChildProcess::HasEnded()
{
  if (!mReaped && waitpid(mId, &mStatus, WNOHANG) == mId) {
    mReaped = true;
  }
  return mReaped;
}

} // namespace integration
