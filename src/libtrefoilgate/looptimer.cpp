#include "looptimer.h"

#include <chrono>
#include <utility>

namespace trefoilgate {

void
RunAfter(boost::asio::steady_timer& aTimer,
         trefoilarch::Millis aSpan,
         std::function<void()> aNext)
{
  aTimer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  aTimer.async_wait(
    [next = std::move(aNext)](const boost::system::error_code& aError) {
      if (!aError) {
        next();
      }
    });
}

} // namespace trefoilgate
