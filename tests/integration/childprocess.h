#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace integration {

/**
 * A process that a test started; the destructor kills it by its id alone. Its
 * standard error is logged in the folder that TREFOILARCH_TEST_LOGS names, or
 * discarded if that is not set.
 */
class ChildProcess
{
public:
  /** Starts a program of the build; throws std::system_error. */
  ChildProcess(std::string aProgram, std::vector<std::string> aArguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /**
   * Waits for the `listening <role> ...` line and returns its address; throws
   * std::runtime_error if there is none.
   */
  std::string Address(const std::string& aRole);
  /** Whether it has printed a line with the prefix. */
  bool HasPrinted(const std::string& aPrefix) const;
  /** Returns all lines so far that contain the text. */
  std::vector<std::string> LinesWith(const std::string& aText) const;

  /** While held, the output stays unread in the pipe. */
  void HoldOutput(bool aHold) { mHoldOutput = aHold; }

  void Signal(int aSignal) const;
  /** Kills it without a clean shutdown, as a crash would. */
  void Kill();
  /** Whether it has exited by itself; Status() is then its wait status. */
  bool HasEnded();
  int Status() const { return mStatus; }
  pid_t Id() const { return mId; }

private:
  void ReadOutput(int aFd);

  std::string mProgram;
  pid_t mId = -1;
  int mStatus = 0;
  bool mReaped = false;
  std::atomic<bool> mHoldOutput = false;
  mutable std::mutex mMutex;
  std::vector<std::string> mLines;
  std::thread mReader;
};

} // namespace integration
