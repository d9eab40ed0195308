#include "relay.h"
#include "relaycontrol.h"

#include "common/standinserver.h"

#include <cstdlib>
#include <tclap/CmdLine.h>
#include <thread>

using namespace standin;

int
main(int aCount, char** aArguments)
{
  BlockStopSignals();
  TCLAP::CmdLine line("A TCP relay that makes faults on order.");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address and port", false, "127.0.0.1:0", "A:P", line);
  TCLAP::ValueArg<std::string> target(
    "", "to", "where to relay to", true, "", "A:P", line);
  TCLAP::ValueArg<std::string> control(
    "", "control", "control port", false, "127.0.0.1:0", "A:P", line);
  TCLAP::ValueArg<std::string> name(
    "", "name", "the relay's name", false, "proxy", "NAME", line);
  line.parse(aCount, aArguments);
  Relay relay(listen.getValue(), target.getValue());
  const StandinServer server(control.getValue(), [&relay](Exchange& aExchange) {
    HandleRelayControl(relay, aExchange);
  });
  std::thread(&Relay::Run, &relay).detach();
  AnnounceListening("faultproxy", name.getValue(), relay.Endpoint());
  AnnounceListening("control", name.getValue(), server.Endpoint());
  WaitForStopSignal();
  std::quick_exit(0);
}
