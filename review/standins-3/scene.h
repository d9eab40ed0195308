#pragma once

#include "net.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

/** A small deployment: a store, gates, workers and what they are seen to do. */
namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/** Writes record.txt: the time in ms since the start, then the text. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  int mFd;
  int64_t mStart;
};

/** The platform's store: rows, conditional writes, ranges and the feed. */
class Store
{
public:
  Store();
  int Port() const { return mServer.Port(); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const nlohmann::json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  struct Row
  {
    std::string mValue; /**< base64 */
    uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using RowKey = std::pair<std::string, std::string>;

  bool Serve(const Socket& aCaller, const Message& aRequest);
  nlohmann::json Read(const std::map<std::string, std::string>& aQuery);
  nlohmann::json Follow(const std::map<std::string, std::string>& aQuery);
  std::pair<int, nlohmann::json> Write(const nlohmann::json& aTransaction);
  nlohmann::json RowJson(const RowKey& aKey, const Row& aRow) const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<RowKey, Row> mRows;
  uint64_t mVersion = 1;
  Server mServer;
};

struct GateOptions
{
  std::string mName = "front-1";
  int mMemoryMb = 110;
};

/** What a case needs from the command line and the environment. */
struct Setting
{
  std::string mRoot;    /**< of the project */
  std::string mWork;    /**< a temporary folder */
  std::string mWorker;  /**< the worker's program */
  std::string mRecord;  /**< record.txt */
  bool mTrouble = true; /**< whether the disruption is made */
};

Setting
ReadSetting(int aCount, char** aArguments);

/** A gate, started by the deploy file's command with its template filled in. */
class Gate
{
public:
  Gate(const Setting& aSetting, const Store& aStore, GateOptions aOptions = {});
  int Front() const { return mFront; }
  Process& Running() { return *mProcess; }
  /** Returns false if it is not ready in time. */
  bool AwaitReady() const;

private:
  int mFront;
  int mReady;
  int mPeer;
  std::unique_ptr<Process> mProcess;
};

/** A worker process and its entry in the store. */
class Worker
{
public:
  Worker(const Setting& aSetting, std::string aId, int aPort = 0);
  const std::string& Id() const { return mId; }
  int Port() const { return mPort; }
  Process& Running() { return *mProcess; }
  bool AwaitListening() const;
  /** aPort is the port that is listed. */
  nlohmann::json Entry(const std::string& aState,
                       int aSequence,
                       int aPort) const;
  /** The lines that it has written: `ran ID`, `ended ID`. */
  std::vector<std::string> Lines() const;
  bool Ran(const std::string& aRequest) const;
  bool Ended(const std::string& aRequest) const;

private:
  std::string mId;
  int mPort;
  int64_t mBorn;
  std::string mOutput;
  std::unique_ptr<Process> mProcess;
};

nlohmann::json
RouteOf(const std::string& aName,
        const std::string& aKind,
        const std::string& aService,
        int aTimeoutMs);
nlohmann::json
ConfigOf(const nlohmann::json& aRoutes, const nlohmann::json& aServices);

/** The one service of the entries of workers. */
nlohmann::json
Services();

/** A request on a route of RouteOf(). */
std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody = "");

} // namespace review
