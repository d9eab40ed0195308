#pragma once

#include "libtrefoilarch/millis.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace trefoilgate {

/** Calls back on the timer's loop after the span; what the timer was to call
 * before is not called. */
void
RunAfter(boost::asio::steady_timer& aTimer,
         trefoilarch::Millis aSpan,
         std::function<void()> aNext);

} // namespace trefoilgate
