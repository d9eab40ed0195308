#include "engine.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace standin;

namespace {

EngineOptions
ReadOptions(TCLAP::CmdLine& aLine,
            int aCount,
            const char* const* aArguments,
            std::string& aListen,
            std::string& aName)
{
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address and port", false, "127.0.0.1:0", "A:P", aLine);
  TCLAP::ValueArg<std::string> name(
    "", "name", "the engine's name", false, "engine-1", "NAME", aLine);
  TCLAP::ValueArg<std::string> model(
    "", "model", "the model it serves", false, "base", "NAME", aLine);
  TCLAP::ValueArg<std::string> record(
    "", "record", "file to record executions in", false, "", "FILE", aLine);
  TCLAP::ValueArg<std::string> fencing("",
                                       "fencing",
                                       "old fencing numbers: refuse or ignore",
                                       false,
                                       "refuse",
                                       "WORD",
                                       aLine);
  TCLAP::ValueArg<int64_t> lag(
    "", "lag-ms", "lag of the load reports", false, 0, "MS", aLine);
  TCLAP::ValueArg<int64_t> orders(
    "", "order-ms", "how long an order takes", false, 0, "MS", aLine);
  const BatchOptions defaults;
  TCLAP::ValueArg<size_t> batch("",
                                "max-running",
                                "requests in the batch",
                                false,
                                defaults.mMaxRunning,
                                "N",
                                aLine);
  TCLAP::ValueArg<size_t> memory("",
                                 "memory-tokens",
                                 "key-value memory",
                                 false,
                                 defaults.mMemoryTokens,
                                 "N",
                                 aLine);
  TCLAP::ValueArg<double> step("",
                               "step-ms",
                               "time of an empty step",
                               false,
                               defaults.mStepMillis,
                               "MS",
                               aLine);
  aLine.parse(aCount, aArguments);
  aListen = listen.getValue();
  aName = name.getValue();
  EngineOptions options{ .mModel = model.getValue(),
                         .mRecordFile = record.getValue(),
                         .mRefusesOldFencing = fencing.getValue() != "ignore",
                         .mReportLag = lag.getValue(),
                         .mOrderMillis = orders.getValue(),
                         .mBatch = defaults };
  options.mBatch.mMaxRunning = batch.getValue();
  options.mBatch.mMemoryTokens = memory.getValue();
  options.mBatch.mStepMillis = step.getValue();
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  BlockStopSignals();
  std::string listen;
  std::string name;
  TCLAP::CmdLine line("A model engine for tests.");
  const EngineOptions options =
    ReadOptions(line, aCount, aArguments, listen, name);
  Engine engine(options);
  const StandinServer server(
    listen, [&engine](Exchange& aExchange) { engine.Handle(aExchange); });
  AnnounceListening("engine", name, server.Endpoint());
  WaitForStopSignal();
  std::quick_exit(0);
}
