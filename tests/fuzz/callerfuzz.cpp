#include "connectionpair.h"
#include "fuzztarget.h"

#include "libtrefoilgate/callerconnection.h"

#include <memory>

using namespace trefoilgate;

/** A caller's bytes: heads, framing and bodies of requests. */
void
ReadInput(std::string_view aInput)
{
  fuzz::ConnectionPair pair;
  const CallerHooks hooks{
    .mOnRequest =
      [](const std::shared_ptr<CallerConnection>& aCaller,
         const CallerRequest& aRequest) {
        aCaller->Answer({ .mStatus = 200 }, *aRequest.mBody);
      },
    .mLimits = [] { return trefoilarch::CallerLimits{}; },
    .mStopping = [] { return false; },
    .mOnClosed = [](CallerConnection*) {},
    .mOnRejected = [](int, const char*) {},
    .mOnNoMemory = [](const std::shared_ptr<CallerConnection>&,
                      const CallerRequest&) {},
    .mWorkspaceOf = [](const CallerRequest&) { return std::string(); }
  };
  auto caller = pair.Connect();
  boost::asio::ip::tcp::socket accepted(pair.Loop());
  {
    auto other = pair.Accept();
    const auto handle = other.release();
    accepted.assign(boost::asio::ip::tcp::v4(), handle);
  }
  const auto connection =
    std::make_shared<CallerConnection>(std::move(accepted), hooks);
  connection->Start();
  pair.WriteInPieces(caller, aInput);
  pair.Finish(caller);
  connection->Close();
  pair.Loop().restart();
  pair.Loop().poll();
}
