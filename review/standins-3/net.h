#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Plain sockets, HTTP/1.1 messages and processes for the cases. */
namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

/** Milliseconds of the steady clock. */
int64_t
Now();
void
SleepMs(int64_t aMs);

/** A socket; closes it at the end. */
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : mFd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  int Fd() const { return mFd; }
  bool Open() const { return mFd >= 0; }
  void Close();
  /** Closes with a reset. */
  void Reset();
  bool Send(const std::string& aBytes) const;
  /** The bytes received (0 at the end), -1 after an error, -2 if nothing came
   * in time. */
  int Receive(char* aBuffer, size_t aSize, int64_t aTimeoutMs) const;

private:
  int mFd;
};

/** Port 0 draws one. */
Socket
Listen(int aPort);
int
PortOf(const Socket& aSocket);
Socket
Accept(const Socket& aListener);
/** aReceiveBuffer is the kernel's buffer in bytes; 0: as the kernel likes. */
Socket
Connect(int aPort, int aReceiveBuffer = 0);
/** A port that was free a moment ago. */
int
FreePort();

/** A request, or the head and body of an answer. */
struct Message
{
  std::string mStart;
  Fields mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const;
  /** The second word of the first line: a path or a status. */
  std::string Second() const;
};

/** Reads requests, and answers with a length, from one connection. */
class Reader
{
public:
  explicit Reader(const Socket& aSocket)
    : mSocket(aSocket)
  {
  }
  /** Returns false if the connection ended before a whole request. */
  bool ReadRequest(Message& aRequest);

private:
  bool Fill();

  const Socket& mSocket;
  std::string mBytes;
};

enum class End
{
  Complete, /**< by its length, its last chunk or a regular close */
  Closed,   /**< closed before the end that its framing promised */
  Reset,
  Timeout,
};

const char*
NameOf(End aEnd);

/** An answer as a caller has seen it. */
struct Answer
{
  int mStatus = 0;
  Fields mFields;
  std::string mBody;
  End mEnd = End::Timeout;

  bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
  std::string Field(const std::string& aName) const;
};

/** Reads answers from a kept connection. */
class AnswerReader
{
public:
  explicit AnswerReader(const Socket& aSocket)
    : mSocket(aSocket)
  {
  }
  Answer Read(int64_t aTimeoutMs);

private:
  /** Returns false after an error, the end or the time-out. */
  bool Fill(int64_t aUntil);
  bool TakeHead(Answer& aAnswer, int64_t aUntil);
  void ReadChunks(Answer& aAnswer, int64_t aUntil);

  const Socket& mSocket;
  std::string mBytes;
  int mLast = 1;
};

/** A child process; killed at the end if it still runs. */
class Process
{
public:
  Process(const std::vector<std::string>& aCommand,
          const std::vector<std::string>& aEnvironment,
          const std::string& aFolder,
          const std::string& aOutput);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  int Pid() const { return mPid; }
  void Signal(int aSignal) const;
  bool Running();
  /** The wait status once it has ended. */
  int Status() const { return mStatus; }
  void Kill();
  /** Resident memory in KB; 0 if it has ended. */
  int64_t ResidentKb() const;

private:
  int mPid = -1;
  bool mEnded = false;
  int mStatus = 0;
};

/** A server with one thread for each connection. */
class Server
{
public:
  /** The handler returns false to close the connection. */
  using Handler = std::function<bool(const Socket&, const Message&)>;

  explicit Server(Handler aHandler, int aPort = 0);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  int Port() const { return mPort; }

private:
  void Run();

  Handler mHandler;
  Socket mListener;
  int mPort;
  std::atomic<int> mOpen = 0;
  std::atomic<bool> mStop = false;
  std::thread mThread;
};

} // namespace review
