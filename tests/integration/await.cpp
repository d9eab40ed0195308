#include "await.h"

#include "libtrefoilio/systemclock.h"

#include <chrono>
#include <thread>

namespace integration {

bool
Await(const std::function<bool()>& aCondition, trefoilarch::Millis aTimeout)
{
  constexpr std::chrono::milliseconds kInterval(10);
  const trefoilarch::Millis deadline = trefoilio::MonotonicNow() + aTimeout;
  while (!aCondition()) {
    if (trefoilio::MonotonicNow() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

} // namespace integration
