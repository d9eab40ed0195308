#pragma once

#include "record.h"
#include "server.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/** One request that a worker ran. */
struct Run
{
  std::string mRequest;
  std::string mWorker;
  std::string mTenant;
  Clock::time_point mBegan;
};

/** The runs of all workers. */
class Runs
{
public:
  void Add(Run aRun);
  std::vector<Run> All();

private:
  std::mutex mMutex;
  std::vector<Run> mAll;
};

struct WorkerOptions
{
  std::string mIp = "127.0.0.1";
  std::string mId;
  std::string mService;
  std::string mZone = "here";
  int mSlots = 16;
  Ms mWork{ 20 };
  Ms mHeartbeat{ 1200 };
};

/** A sound worker that lists itself in the store. */
class Worker
{
public:
  Worker(WorkerOptions aOptions, Store& aStore, Runs& aRuns, Record& aRecord);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  std::string Address() const { return mServer.Address(); }
  const std::string& Id() const { return mOptions.mId; }
  /** Says from now on that it leaves. */
  void Drain();

private:
  void Serve(int aDescriptor);
  std::string Answer(const Message& aRequest);
  std::string Entry() const;
  void Beat();

  WorkerOptions mOptions;
  Store& mStore;
  Runs& mRuns;
  Record& mRecord;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mStopping{ false };
  Server mServer;
  std::thread mBeats;
};

} // namespace review
