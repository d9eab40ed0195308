#include "await.h"

#include "libtrefoilio/systemclock.h"

#include <chrono>
#include <thread>

namespace integration {

bool
Await(const std::function<bool()>& aCondition, trefoilarch::Millis aLimit)
{
  constexpr std::chrono::milliseconds kInterval(10);
  const trefoilarch::Millis end = trefoilio::MonotonicNow() + aLimit;
  while (!aCondition()) {
    if (trefoilio::MonotonicNow() > end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

} // namespace integration
