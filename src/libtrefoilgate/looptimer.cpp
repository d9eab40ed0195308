#include "looptimer.h"

#include <chrono>
#include <utility>

namespace trefoilgate {

void
RunAfter(boost::asio::steady_timer& aTimer,
         trefoilarch::Millis aDelay,
         std::function<void()> aCallback)
{
  aTimer.expires_after(std::chrono::milliseconds(aDelay.Count()));
  aTimer.async_wait(
    [callback = std::move(aCallback)](const boost::system::error_code& aError) {
      if (!aError) {
        callback();
      }
    });
}

} // namespace trefoilgate
