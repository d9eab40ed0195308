#pragma once

#include "net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** What was sent, answered and run, with the seconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  /** Writes a line, with the time of an event if it is given. */
  void Write(const std::string& aLine, Clock::time_point aAt = Clock::now());
  double Seconds(Clock::time_point aAt) const;

private:
  std::mutex mMutex;
  std::ofstream mFile;
  const Clock::time_point mStart = Clock::now();
};

} // namespace review
