#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

/** What the scripts of the second review share: processes, a caller that reads
 * its connection byte by byte, and a small deployment. */
namespace review {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

int64_t
NowMs();

void
SleepMs(int64_t aMillis);

/** Unless TROUBLE=0 is set. */
bool
WithTrouble();

/** A port that was free a moment ago. */
int
FreePort();

/** Writes lines with the time since the start to a file and to standard
 * output. Thread-safe. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::string mPath;
  int64_t mStart;
};

/** A process that ends with this object at the latest. */
class Child
{
public:
  Child(const std::vector<std::string>& aCommand,
        const std::map<std::string, std::string>& aEnvironment,
        const std::string& aOutput);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int aSignal) const;
  /** Sends SIGKILL and waits for the end. */
  void Kill();
  /** Whether the process runs; otherwise how it ended is in Ending(). */
  bool Runs();
  const std::string& Ending() const { return mEnding; }
  /** Bytes of memory in use; 0 if the process does not run. */
  int64_t MemoryBytes() const;

private:
  pid_t mPid = 0;
  std::string mEnding;
};

/** The text after a prefix in a file that a process writes; throws if it does
 * not come. */
std::string
AwaitText(const std::string& aPath,
          const std::string& aPrefix,
          const std::string& aEndings);

/** An answer as its caller sees it. */
struct Reply
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
  /** Whether the answer is complete by the rules of HTTP/1.1. */
  bool mComplete = false;
  /** How the connection was left: "length", "chunks", "closed", "reset",
   * "timeout", "no connection". */
  std::string mEnd;

  std::string Header(const std::string& aName) const;
};

struct Request
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  Headers mHeaders;
  std::string mBody;
  int64_t mTimeoutMs = 10000;
};

/** A caller's connection, for one request at a time. */
class Connection
{
public:
  explicit Connection(const std::string& aEndpoint);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Sends bytes as they are; false if the connection is gone. */
  bool Send(const std::string& aBytes) const;
  /** aOnBody is called with the body so far whenever it has grown. */
  Reply Ask(const Request& aRequest,
            const std::function<void(const std::string&)>& aOnBody = nullptr);
  /** Reads an answer to what was sent. */
  Reply Read(
    const Request& aRequest,
    const std::function<void(const std::string&)>& aOnBody = nullptr) const;

private:
  int mHandle;
  bool mOpen;
};

/** One request on a connection of its own. aOnBody is called with the body so
 * far whenever it has grown. */
Reply
Call(const std::string& aEndpoint,
     const Request& aRequest,
     const std::function<void(const std::string&)>& aOnBody = nullptr);

/** Sends a command to a stand-in's /control. */
Json
Control(const std::string& aEndpoint, const Json& aCommand);

/** A store, and gates with the settings of deploy/gate.env. */
class Deployment
{
public:
  /** The folder that the stand-ins were built into, and the case's own. */
  Deployment(std::string aStandins, std::string aWork, Record& aRecord);

  const std::string& Store() const { return mStore; }
  /** What the operator or an upstream writes. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /** Starts an upstream; it is listed by Put(). Returns its address. */
  std::string StartWorker(const std::string& aId,
                          const std::string& aEndpoint = "127.0.0.1:0");
  Child& Worker(const std::string& aId) { return *mWorkers.at(aId); }
  /** The runs that the upstream has recorded. */
  Json Runs(const std::string& aId) const;
  /** Starts a gate and waits until it says that it is ready. Returns the
   * address for callers. */
  std::string StartGate(const std::string& aName);
  Child& Gate(const std::string& aName) { return *mGates.at(aName); }
  const std::string& WorkerAddress(const std::string& aId) const
  {
    return mAddresses.at(aId);
  }
  /** The row that an upstream writes of itself. */
  Json RowOf(const std::string& aId,
             const std::string& aService,
             const std::string& aState,
             int aSequence,
             const std::string& aVersion = "1.0") const;

private:
  std::string Settings(const std::string& aName) const;

  std::string mStandins;
  std::string mWork;
  Record& mRecord;
  std::unique_ptr<Child> mStoreProcess;
  std::string mStore;
  std::map<std::string, std::unique_ptr<Child>> mWorkers;
  std::map<std::string, std::string> mAddresses;
  std::map<std::string, int64_t> mBorn;
  std::map<std::string, std::unique_ptr<Child>> mGates;
  std::map<std::string, std::map<std::string, int>> mGatePorts;
};

/** Runs a case in a temporary folder. Arguments of the program: the folder of
 * the stand-ins, the case's folder. */
int
RunCase(int aCount,
        char** aArguments,
        const std::function<int(Deployment&, Record&)>& aCase);

} // namespace review
