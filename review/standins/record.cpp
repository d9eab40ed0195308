#include "record.h"

#include <array>
#include <cstdio>

namespace review {

double
Record::Seconds(Clock::time_point aAt) const
{
  return std::chrono::duration<double>(aAt - mStart).count();
}

void
Record::Write(const std::string& aLine, Clock::time_point aAt)
{
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Seconds(aAt));
  const std::lock_guard lock(mMutex);
  mFile << time.data() << aLine << std::endl;
}

} // namespace review
