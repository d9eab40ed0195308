#include "connectionpair.h"
#include "fuzztarget.h"

#include "libtrefoilgate/clientconnection.h"

#include <memory>

using namespace trefoilgate;
using trefoilarch::Millis;

/** An upstream's bytes: heads, framing and bodies of answers. */
void
ReadInput(std::string_view aInput)
{
  // One listening port for all inputs: a port each would use them up.
  static fuzz::ConnectionPair sPair;
  const auto connection = std::make_shared<ClientConnection>(sPair.Loop());
  connection->Connect(sPair.Server(), Millis(1000), {}, [](bool) {});
  auto upstream = sPair.Accept();
  sPair.Loop().restart();
  sPair.Loop().run_one();
  sPair.Loop().poll();
  if (connection->Idle()) {
    connection->Send({ .mHead = "GET / HTTP/1.1\r\n\r\n" },
                     { .mIsOurs =
                         [](const UpstreamAnswer& aAnswer) {
                           return aAnswer.mStatus % 2 == 0;
                         },
                       .mMayDeliver = [] { return true; },
                       .mOnHead = [](const UpstreamAnswer&) {},
                       .mOnData = [](const std::string&) {},
                       .mOnEnd = [] {},
                       .mOnBroken = [](const std::string&) {} });
  }
  sPair.WriteInPieces(upstream, aInput);
  sPair.Finish(upstream);
  connection->Close();
  sPair.Loop().restart();
  sPair.Loop().poll();
}
