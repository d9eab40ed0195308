#include "loaddump.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

nlohmann::json
Dump(const Load& aLoad)
{
  return { { "running", aLoad.mRunning },
           { "waiting", aLoad.mWaiting },
           { "tokens_in_flight", aLoad.mTokensInFlight },
           { "token_room", aLoad.mTokenCapacity },
           { "tokens_waiting", aLoad.mTokensWaiting },
           { "draining", aLoad.mDraining } };
}

} // namespace trefoilarch
