#pragma once

#include <memory>
#include <string>

namespace trefoilio {

/**
 * While it exists, a signal that ends the process because of a fault, such as
 * SIGSEGV or SIGABRT, first writes a log line that names the signal to standard
 * output. A stack that has overflowed is covered for the thread that created
 * this. Only one object may exist at a time.
 */
class FatalSignalLog
{
public:
  explicit FatalSignalLog(const std::string& aProcess);
  ~FatalSignalLog();
  FatalSignalLog(const FatalSignalLog&) = delete;
  FatalSignalLog& operator=(const FatalSignalLog&) = delete;

private:
  std::unique_ptr<char[]> mStack;
};

} // namespace trefoilio
