#include "worker.h"

#include "common/standinserver.h"

#include <csignal>

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  standin::BlockStopSignals();
  const std::string id = aCount > 1 ? aArguments[1] : "worker";
  const std::string endpoint = aCount > 2 ? aArguments[2] : "127.0.0.1:0";
  standin::Worker worker(id, endpoint);
  worker.Start();
  standin::AnnounceListening("worker", id, worker.Endpoint());
  standin::WaitForStopSignal();
  return 0;
}
