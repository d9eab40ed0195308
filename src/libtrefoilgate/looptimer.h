#pragma once

#include "libtrefoilarch/millis.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace trefoilgate {

/** Runs the callback on the timer's loop after the delay; cancels the timer's
 * previous callback. */
void
RunAfter(boost::asio::steady_timer& aTimer,
         trefoilarch::Millis aDelay,
         std::function<void()> aCallback);

} // namespace trefoilgate
