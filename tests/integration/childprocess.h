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
 * A process that a test started: killed, by its id alone, when the object
 * goes. Its standard error goes where TREFOILARCH_TEST_LOGS names a folder,
 * else nowhere.
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
   * The address of its `listening <role> ...` line, waiting for it; throws
   * std::runtime_error where it does not come.
   */
  std::string Address(const std::string& aRole);
  /** Whether it has printed a line that begins so. */
  bool HasSaid(const std::string& aStart) const;
  /** All lines so far that hold the text. */
  std::vector<std::string> LinesWith(const std::string& aPart) const;

  /** While held, what it prints stays unread in its pipe. */
  void HoldOutput(bool aHold) { mHold = aHold; }

  void Signal(int aSignal) const;
  /** Ends it at once, as a crash would. */
  void Kill();
  /** Whether it has ended by itself; Status() is its wait status then. */
  bool HasEnded();
  int Status() const { return mStatus; }
  pid_t Id() const { return mId; }

private:
  void ReadOutput(int aFd);

  std::string mProgram;
  pid_t mId = -1;
  int mStatus = 0;
  bool mReaped = false;
  std::atomic<bool> mHold = false;
  mutable std::mutex mMutex;
  std::vector<std::string> mLines;
  std::thread mReader;
};

} // namespace integration
