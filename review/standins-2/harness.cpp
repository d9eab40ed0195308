#include "harness.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t kReadBytes = 16384;

sockaddr_in
AddressOf(const std::string& aEndpoint)
{
  const size_t colon = aEndpoint.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<uint16_t>(std::stoi(aEndpoint.substr(colon + 1))));
  inet_pton(AF_INET, aEndpoint.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string
Local(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
ContentOf(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Reads an answer from a socket as far as it has come. */
class AnswerReader
{
public:
  explicit AnswerReader(bool aNoBody)
    : mNoBody(aNoBody)
  {
  }

  /** Returns whether the answer is complete. */
  bool Add(const std::string& aBytes)
  {
    mBuffer += aBytes;
    if (!mHeadRead && !ReadHead()) {
      return false;
    }
    return ReadBody();
  }

  /** The connection was closed regularly. */
  void OnClosed()
  {
    mReply.mEnd = "closed";
    mReply.mComplete = mHeadRead && !mChunked && mLength < 0;
  }

  Reply& Result() { return mReply; }

private:
  bool ReadHead()
  {
    const size_t end = mBuffer.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    std::istringstream lines(mBuffer.substr(0, end + 2));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    mReply.mStatus =
      std::atoi(line.substr(std::min<size_t>(9, line.size())).c_str());
    while (std::getline(lines, line)) {
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r ") + 1);
      mReply.mHeaders.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = mReply.Header("Content-Length");
    mLength = length.empty() ? -1 : std::atoll(length.c_str());
    mChunked = mReply.Header("Transfer-Encoding") == "chunked";
    mHeadRead = true;
    return true;
  }

  bool ReadBody()
  {
    if (mNoBody) {
      return Complete("length");
    }
    if (mChunked) {
      return ReadChunks();
    }
    mReply.mBody += mBuffer;
    mBuffer.clear();
    const auto size = static_cast<int64_t>(mReply.mBody.size());
    return mLength >= 0 && size >= mLength && Complete("length");
  }

  bool ReadChunks()
  {
    for (;;) {
      const size_t line = mBuffer.find("\r\n");
      if (line == std::string::npos) {
        return false;
      }
      constexpr int kHexadecimal = 16;
      const size_t size = std::strtoul(mBuffer.c_str(), nullptr, kHexadecimal);
      if (mBuffer.size() < line + 2 + size + 2) {
        return false;
      }
      mReply.mBody += mBuffer.substr(line + 2, size);
      mBuffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return Complete("chunks");
      }
    }
  }

  bool Complete(const char* aEnd)
  {
    mReply.mComplete = true;
    mReply.mEnd = aEnd;
    return true;
  }

  bool mNoBody;
  std::string mBuffer;
  bool mHeadRead = false;
  bool mChunked = false;
  int64_t mLength = -1;
  Reply mReply;
};

void
AwaitReady(const std::string& aEndpoint)
{
  constexpr int kTries = 300;
  for (int each = 0; each < kTries; ++each) {
    const Reply reply =
      Call(aEndpoint,
           { .mTarget = "/v1/readyz", .mHeaders = { { "Host", "ready" } } });
    if (reply.mStatus == 200) {
      return;
    }
    SleepMs(20);
  }
  throw std::runtime_error("a gate did not get ready");
}

std::string
TextOf(const Request& aRequest)
{
  std::string text =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.mHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aRequest.mBody.empty()) {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.mBody;
}

void
Replace(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

} // namespace

int64_t
NowMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

bool
WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

int
FreePort()
{
  // Below the ports that the kernel gives to outgoing connections, so that none
  // of these takes it before the process that is to listen there.
  constexpr int kFirstPort = 12000;
  constexpr int kLastPort = 31999;
  constexpr int kTries = 100;
  static std::random_device sDevice;
  std::uniform_int_distribution<int> draw(kFirstPort, kLastPort);
  for (int each = 0; each < kTries; ++each) {
    const int port = draw(sDevice);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(Local(port));
    const bool free = bind(handle,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(handle);
    if (free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

Record::Record(const std::string& aPath)
  : mPath(aPath)
  , mStart(NowMs())
{
  const std::ofstream file(mPath, std::ios::trunc);
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const std::string line = std::to_string(NowMs() - mStart) + " ms  " + aText;
  std::ofstream(mPath, std::ios::app) << line << "\n";
  std::cout << line << "\n" << std::flush;
}

Child::Child(const std::vector<std::string>& aCommand,
             const std::map<std::string, std::string>& aEnvironment,
             const std::string& aOutput)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& each : aCommand) {
    arguments.push_back(const_cast<char*>(each.c_str()));
  }
  arguments.push_back(nullptr);
  mPid = fork();
  if (mPid != 0) {
    return;
  }
  // It ends with this process, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
    open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  for (const auto& [name, value] : aEnvironment) {
    setenv(name.c_str(), value.c_str(), 1);
  }
  execv(arguments.front(), arguments.data());
  _exit(kCouldNotRun);
}

Child::~Child()
{
  Kill();
}

void
Child::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

void
Child::Kill()
{
  if (mPid > 0 && Runs()) {
    Signal(SIGKILL);
    int status = 0;
    waitpid(mPid, &status, 0);
    mEnding = "killed by the case";
  }
  mPid = 0;
}

bool
Child::Runs()
{
  int status = 0;
  if (mPid <= 0 || waitpid(mPid, &status, WNOHANG) != mPid) {
    return mPid > 0;
  }
  mEnding = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit " + std::to_string(WEXITSTATUS(status));
  mPid = 0;
  return false;
}

int64_t
Child::MemoryBytes() const
{
  const std::string status =
    ContentOf("/proc/" + std::to_string(mPid) + "/status");
  const size_t at = status.find("VmRSS:");
  constexpr int64_t kBytesPerKb = 1024;
  return at == std::string::npos
           ? 0
           : std::atoll(status.c_str() + at + 6) * kBytesPerKb;
}

std::string
AwaitText(const std::string& aPath,
          const std::string& aPrefix,
          const std::string& aEndings)
{
  constexpr int kTries = 500;
  for (int each = 0; each < kTries; ++each) {
    const std::string text = ContentOf(aPath);
    const size_t at = text.find(aPrefix);
    const size_t end = at == std::string::npos
                         ? at
                         : text.find_first_of(aEndings, at + aPrefix.size());
    if (end != std::string::npos) {
      return text.substr(at + aPrefix.size(), end - at - aPrefix.size());
    }
    SleepMs(20);
  }
  throw std::runtime_error("nothing came: " + aPrefix);
}

std::string
Reply::Header(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

Connection::Connection(const std::string& aEndpoint)
  : mHandle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const sockaddr_in address = AddressOf(aEndpoint);
  mOpen = connect(mHandle,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0;
}

Connection::~Connection()
{
  close(mHandle);
}

bool
Connection::Send(const std::string& aBytes) const
{
  size_t sent = 0;
  while (mOpen && sent < aBytes.size()) {
    const ssize_t bytes =
      send(mHandle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (bytes <= 0) {
      return false;
    }
    sent += static_cast<size_t>(bytes);
  }
  return mOpen;
}

Reply
Connection::Ask(const Request& aRequest,
                const std::function<void(const std::string&)>& aOnBody)
{
  Send(TextOf(aRequest));
  return Read(aRequest, aOnBody);
}

Reply
Connection::Read(const Request& aRequest,
                 const std::function<void(const std::string&)>& aOnBody) const
{
  AnswerReader reader(aRequest.mMethod == "HEAD");
  Reply& reply = reader.Result();
  if (!mOpen) {
    reply.mEnd = "no connection";
    return reply;
  }
  reply.mEnd = "timeout";
  const int64_t end = NowMs() + aRequest.mTimeoutMs;
  std::string buffer(kReadBytes, '\0');
  size_t bodyBytes = 0;
  while (NowMs() < end) {
    pollfd ready{ .fd = mHandle, .events = POLLIN, .revents = 0 };
    if (poll(&ready, 1, static_cast<int>(end - NowMs())) <= 0) {
      continue;
    }
    const ssize_t bytes = recv(mHandle, buffer.data(), buffer.size(), 0);
    if (bytes < 0) {
      reply.mEnd = "reset";
      break;
    }
    if (bytes == 0) {
      reader.OnClosed();
      break;
    }
    const bool complete =
      reader.Add(buffer.substr(0, static_cast<size_t>(bytes)));
    if (aOnBody && reply.mBody.size() > bodyBytes) {
      bodyBytes = reply.mBody.size();
      aOnBody(reply.mBody);
    }
    if (complete) {
      break;
    }
  }
  return reply;
}

Reply
Call(const std::string& aEndpoint,
     const Request& aRequest,
     const std::function<void(const std::string&)>& aOnBody)
{
  return Connection(aEndpoint).Ask(aRequest, aOnBody);
}

Json
Control(const std::string& aEndpoint, const Json& aCommand)
{
  const Reply reply = Call(aEndpoint,
                           { .mMethod = "POST",
                             .mTarget = "/control",
                             .mHeaders = { { "Host", "control" } },
                             .mBody = aCommand.dump() });
  if (reply.mStatus != 200) {
    throw std::runtime_error("no answer to a control command");
  }
  return Json::parse(reply.mBody, nullptr, false);
}

Deployment::Deployment(std::string aStandins,
                       std::string aWork,
                       Record& aRecord)
  : mStandins(std::move(aStandins))
  , mWork(std::move(aWork))
  , mRecord(aRecord)
{
  const std::string output = mWork + "/store.txt";
  mStoreProcess =
    std::make_unique<Child>(std::vector<std::string>{ mStandins + "/rowstore" },
                            std::map<std::string, std::string>{},
                            output);
  mStore = AwaitText(output, "listening rowstore store ", "\n");
  mRecord.Line("the store listens at " + mStore);
}

void
Deployment::Put(const std::string& aTable,
                const std::string& aKey,
                const Json& aValue)
{
  Control(mStore,
          { { "put",
              Json::array({ { { "table", aTable },
                              { "key", aKey },
                              { "value", aValue } } }) } });
  mRecord.Line("written: " + aTable + "/" + aKey + " " + aValue.dump());
}

void
Deployment::Remove(const std::string& aTable, const std::string& aKey)
{
  Control(mStore,
          { { "remove",
              Json::array({ { { "table", aTable }, { "key", aKey } } }) } });
  mRecord.Line("removed: " + aTable + "/" + aKey);
}

std::string
Deployment::StartWorker(const std::string& aId, const std::string& aEndpoint)
{
  const std::string output =
    mWork + "/" + aId + "-" + std::to_string(mBorn[aId]) + ".txt";
  mWorkers[aId] = std::make_unique<Child>(
    std::vector<std::string>{ mStandins + "/worker", aId, aEndpoint },
    std::map<std::string, std::string>{},
    output);
  mAddresses[aId] = AwaitText(output, "listening worker " + aId + " ", "\n");
  using namespace std::chrono;
  mBorn[aId] =
    duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  mRecord.Line(aId + " listens at " + mAddresses[aId]);
  return mAddresses[aId];
}

Json
Deployment::Runs(const std::string& aId) const
{
  return Control(mAddresses.at(aId), Json::object()).at("runs");
}

Json
Deployment::RowOf(const std::string& aId,
                  const std::string& aService,
                  const std::string& aState,
                  int aSequence,
                  const std::string& aVersion) const
{
  return { { "service", aService },  { "address", mAddresses.at(aId) },
           { "zone", "zone-a" },     { "version", aVersion },
           { "slots", 64 },          { "state", aState },
           { "coldRemainingMs", 0 }, { "sequence", aSequence },
           { "born", mBorn.at(aId) } };
}

std::string
Deployment::Settings(const std::string& aName) const
{
  const std::map<std::string, int>& ports = mGatePorts.at(aName);
  const auto local = [&](const char* aPort) { return Local(ports.at(aPort)); };
  const std::map<std::string, std::string> values = {
    { "nodeName", aName },
    { "zone", "zone-a" },
    { "listen.front", local("front") },
    { "listen.ready", local("ready") },
    { "platform.address", mStore },
    { "ip", "127.0.0.1" },
    { "portRange.0", std::to_string(ports.at("peer")) },
    { "bounds.revokeMs", "5000" },
    { "bounds.configApplyMs", "2000" },
    { "bounds.drainMs", "2000" },
    { "heartbeatMs", "1200" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.budgetSlack", "54" },
    { "bounds.graceS", "8" },
    { "limits.maxFds", "4100" },
    { "limits.memoryMb", "110" }
  };
  std::istringstream lines(ContentOf("deploy/gate.env"));
  std::string settings;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.find("{{#") != std::string::npos) {
      continue; // a section without a value
    }
    for (const auto& [name, value] : values) {
      Replace(line, "{{" + name + "}}", value);
    }
    settings += line + "\n";
  }
  return settings;
}

std::string
Deployment::StartGate(const std::string& aName)
{
  if (!mGatePorts.contains(aName)) {
    mGatePorts[aName] = { { "front", FreePort() },
                          { "ready", FreePort() },
                          { "peer", FreePort() } };
  }
  const std::string path = mWork + "/" + aName + ".env";
  std::ofstream(path) << Settings(aName);
  mGates[aName] = std::make_unique<Child>(
    std::vector<std::string>{ "target/bin/trefoilarch-gate" },
    std::map<std::string, std::string>{ { "TREFOILARCH_BOOT", path } },
    mWork + "/" + aName + ".txt");
  const std::map<std::string, int>& ports = mGatePorts[aName];
  const std::string ready = Local(ports.at("ready"));
  AwaitReady(ready);
  // Rules with a time bound hold from stableWindowMs after the start.
  constexpr int kStableWindowMs = 3000;
  constexpr int kMarginMs = 200;
  SleepMs(kStableWindowMs + kMarginMs);
  std::string front = Local(ports.at("front"));
  mRecord.Line(aName + " is ready, callers at " + front);
  return front;
}

int
RunCase(int aCount,
        char** aArguments,
        const std::function<int(Deployment&, Record&)>& aCase)
{
  if (aCount < 3) {
    std::cerr << "usage: STANDINS CASE\n";
    return kCouldNotRun;
  }
  const std::string folder = aArguments[2];
  std::string work =
    std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (mkdtemp(work.data()) == nullptr) {
    return kCouldNotRun;
  }
  Record record(folder + "/record.txt");
  int result = kCouldNotRun;
  try {
    record.Line(WithTrouble() ? "with the disruption"
                              : "without the disruption");
    Deployment deployment(aArguments[1], work, record);
    result = aCase(deployment, record);
  } catch (const std::exception& error) {
    record.Line(std::string("could not run: ") + error.what());
  }
  std::error_code ignored;
  std::filesystem::remove_all(work, ignored);
  record.Line(result == kHeld     ? "the rule held"
              : result == kBroken ? "the rule was broken"
                                  : "the case could not run");
  return result;
}

} // namespace review
