#include "plainservice.h"

#include <cstdlib>
#include <tclap/CmdLine.h>

using namespace standin;

int
main(int aCount, char** aArguments)
{
  BlockStopSignals();
  TCLAP::CmdLine line("A plain HTTP service for tests.");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address and port", false, "127.0.0.1:0", "A:P", line);
  TCLAP::ValueArg<std::string> name(
    "", "name", "the service's name", false, "service-1", "NAME", line);
  TCLAP::ValueArg<int64_t> delay(
    "", "delay-ms", "time before each answer", false, 0, "MS", line);
  TCLAP::ValueArg<std::string> record(
    "", "record", "file to record executions in", false, "", "FILE", line);
  line.parse(aCount, aArguments);
  PlainService service(delay.getValue(), record.getValue());
  const StandinServer server(
    listen.getValue(),
    [&service](Exchange& aExchange) { service.Handle(aExchange); });
  AnnounceListening("service", name.getValue(), server.Endpoint());
  WaitForStopSignal();
  std::quick_exit(0);
}
