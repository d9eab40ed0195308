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
  fuzz::ConnectionPair pair;
  const auto connection = std::make_shared<ClientConnection>(pair.Loop());
  connection->Connect(pair.Server(), Millis(1000), {}, [](bool) {});
  auto upstream = pair.Accept();
  pair.Loop().run_one();
  pair.Loop().poll();
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
  pair.WriteInPieces(upstream, aInput);
  pair.Finish(upstream);
  connection->Close();
  pair.Loop().restart();
  pair.Loop().poll();
}
