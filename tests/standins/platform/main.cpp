#include "platform.h"

#include <cstdlib>
#include <tclap/CmdLine.h>

using namespace standin;

int
main(int aCount, char** aArguments)
{
  BlockStopSignals();
  TCLAP::CmdLine line("The platform's table, object store and host list, for "
                      "tests.");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address and port", false, "127.0.0.1:0", "A:P", line);
  TCLAP::ValueArg<std::string> name(
    "", "name", "the platform's name", false, "platform", "NAME", line);
  line.parse(aCount, aArguments);
  Platform platform;
  const StandinServer server(
    listen.getValue(),
    [&platform](Exchange& aExchange) { platform.Handle(aExchange); });
  AnnounceListening("platform", name.getValue(), server.Endpoint());
  WaitForStopSignal();
  std::quick_exit(0);
}
