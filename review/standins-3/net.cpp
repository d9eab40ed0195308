#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr size_t kReadBytes = 65536;
constexpr int kBacklog = 256;

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

std::string
FieldIn(const Fields& aFields, const std::string& aName)
{
  for (const auto& [name, value] : aFields) {
    if (Lower(name) == Lower(aName)) {
      return value;
    }
  }
  return "";
}

/** Reads the head before the empty line. */
void
ParseHead(const std::string& aHead, std::string& aStart, Fields& aFields)
{
  size_t begin = aHead.find("\r\n");
  aStart = aHead.substr(0, begin);
  while (begin != std::string::npos) {
    begin += 2;
    const size_t end = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(
      begin, end == std::string::npos ? std::string::npos : end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      aFields.emplace_back(line.substr(0, colon),
                           value == std::string::npos ? ""
                                                      : line.substr(value));
    }
    begin = end;
  }
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void
SetOption(int aFd, int aLevel, int aName, int aValue)
{
  setsockopt(aFd, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

int64_t
Now()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

Socket::Socket(Socket&& aOther) noexcept
  : mFd(std::exchange(aOther.mFd, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  Close();
  mFd = std::exchange(aOther.mFd, -1);
  return *this;
}

Socket::~Socket()
{
  Close();
}

void
Socket::Close()
{
  if (mFd >= 0) {
    close(std::exchange(mFd, -1));
  }
}

void
Socket::Reset()
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

bool
Socket::Send(const std::string& aBytes) const
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

int
Socket::Receive(char* aBuffer, size_t aSize, int64_t aTimeoutMs) const
{
  pollfd state{ .fd = mFd, .events = POLLIN, .revents = 0 };
  const int64_t wait = std::max<int64_t>(0, aTimeoutMs);
  if (poll(&state, 1, static_cast<int>(wait)) <= 0) {
    return -2;
  }
  return static_cast<int>(recv(mFd, aBuffer, aSize, 0));
}

Socket
Listen(int aPort)
{
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetOption(listener.Fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = Loopback(aPort);
  if (bind(listener.Fd(),
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener.Fd(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen");
  }
  return listener;
}

int
PortOf(const Socket& aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket.Fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Socket
Accept(const Socket& aListener)
{
  Socket accepted(accept4(aListener.Fd(), nullptr, nullptr, SOCK_CLOEXEC));
  if (accepted.Open()) {
    SetOption(accepted.Fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  }
  return accepted;
}

Socket
Connect(int aPort, int aReceiveBuffer)
{
  Socket made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (aReceiveBuffer > 0) {
    SetOption(made.Fd(), SOL_SOCKET, SO_RCVBUF, aReceiveBuffer);
  }
  const sockaddr_in address = Loopback(aPort);
  if (connect(made.Fd(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    made.Close();
    return made;
  }
  SetOption(made.Fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  return made;
}

int
FreePort()
{
  return PortOf(Listen(0));
}

std::string
Message::Field(const std::string& aName) const
{
  return FieldIn(mFields, aName);
}

std::string
Message::Second() const
{
  const size_t begin = mStart.find(' ');
  const size_t end = mStart.find(' ', begin + 1);
  return begin == std::string::npos ? ""
                                    : mStart.substr(begin + 1, end - begin - 1);
}

bool
Reader::Fill()
{
  std::array<char, kReadBytes> buffer{};
  constexpr int64_t kLong = 120000;
  const int count = mSocket.Receive(buffer.data(), buffer.size(), kLong);
  if (count <= 0) {
    return false;
  }
  mBytes.append(buffer.data(), static_cast<size_t>(count));
  return true;
}

bool
Reader::ReadRequest(Message& aRequest)
{
  size_t end = mBytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = mBytes.find("\r\n\r\n");
  }
  aRequest = {};
  ParseHead(mBytes.substr(0, end), aRequest.mStart, aRequest.mFields);
  mBytes.erase(0, end + 4);
  const std::string length = aRequest.Field("Content-Length");
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (mBytes.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  aRequest.mBody = mBytes.substr(0, size);
  mBytes.erase(0, size);
  return true;
}

const char*
NameOf(End aEnd)
{
  constexpr std::array kNames = { "complete", "closed", "reset", "timeout" };
  return kNames.at(static_cast<size_t>(aEnd));
}

std::string
Answer::Field(const std::string& aName) const
{
  return FieldIn(mFields, aName);
}

bool
AnswerReader::Fill(int64_t aUntil)
{
  std::array<char, kReadBytes> buffer{};
  mLast = mSocket.Receive(buffer.data(), buffer.size(), aUntil - Now());
  if (mLast <= 0) {
    return false;
  }
  mBytes.append(buffer.data(), static_cast<size_t>(mLast));
  return true;
}

bool
AnswerReader::TakeHead(Answer& aAnswer, int64_t aUntil)
{
  size_t end = mBytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return false;
    }
    end = mBytes.find("\r\n\r\n");
  }
  std::string start;
  ParseHead(mBytes.substr(0, end), start, aAnswer.mFields);
  mBytes.erase(0, end + 4);
  const size_t space = start.find(' ');
  aAnswer.mStatus =
    space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
  return true;
}

void
AnswerReader::ReadChunks(Answer& aAnswer, int64_t aUntil)
{
  for (;;) {
    size_t line = mBytes.find("\r\n");
    while (line == std::string::npos) {
      if (!Fill(aUntil)) {
        return;
      }
      line = mBytes.find("\r\n");
    }
    const size_t size = std::stoul(mBytes.substr(0, line), nullptr, 16);
    while (mBytes.size() < line + 2 + size + 2) {
      if (!Fill(aUntil)) {
        aAnswer.mBody += mBytes.substr(line + 2, size);
        return;
      }
    }
    aAnswer.mBody += mBytes.substr(line + 2, size);
    mBytes.erase(0, line + 2 + size + 2);
    if (size == 0) {
      aAnswer.mEnd = End::Complete;
      return;
    }
  }
}

Answer
AnswerReader::Read(int64_t aTimeoutMs)
{
  Answer answer;
  const int64_t until = Now() + aTimeoutMs;
  const auto setBroken = [&] {
    answer.mEnd = mLast == 0    ? End::Closed
                  : mLast == -2 ? End::Timeout
                                : End::Reset;
  };
  if (!TakeHead(answer, until)) {
    setBroken();
    return answer;
  }
  const std::string length = answer.Field("Content-Length");
  if (Lower(answer.Field("Transfer-Encoding")) == "chunked") {
    ReadChunks(answer, until);
    if (answer.mEnd != End::Complete) {
      setBroken();
    }
  } else if (!length.empty()) {
    const size_t size = std::stoul(length);
    while (mBytes.size() < size && Fill(until)) {
    }
    answer.mBody = mBytes.substr(0, size);
    mBytes.erase(0, answer.mBody.size());
    if (answer.mBody.size() == size) {
      answer.mEnd = End::Complete;
    } else {
      setBroken();
    }
  } else {
    while (Fill(until)) {
    }
    answer.mBody = std::exchange(mBytes, {});
    setBroken();
    if (answer.mEnd == End::Closed) {
      answer.mEnd = End::Complete;
    }
  }
  return answer;
}

Process::Process(const std::vector<std::string>& aCommand,
                 const std::vector<std::string>& aEnvironment,
                 const std::string& aFolder,
                 const std::string& aOutput)
{
  std::vector<char*> command;
  std::vector<char*> environment;
  for (const std::string& each : aCommand) {
    command.push_back(const_cast<char*>(each.c_str()));
  }
  for (const std::string& each : aEnvironment) {
    environment.push_back(const_cast<char*>(each.c_str()));
  }
  command.push_back(nullptr);
  environment.push_back(nullptr);
  mPid = fork();
  if (mPid == 0) {
    const int output =
      open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (chdir(aFolder.c_str()) == 0) {
      execve(command[0], command.data(), environment.data());
    }
    _exit(127);
  }
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aSignal) const
{
  if (!mEnded && mPid > 0) {
    kill(mPid, aSignal);
  }
}

bool
Process::Running()
{
  if (!mEnded && waitpid(mPid, &mStatus, WNOHANG) == mPid) {
    mEnded = true;
  }
  return !mEnded;
}

void
Process::Kill()
{
  if (Running()) {
    Signal(SIGKILL);
    waitpid(mPid, &mStatus, 0);
    mEnded = true;
  }
}

int64_t
Process::ResidentKb() const
{
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      int64_t value = 0;
      status >> value;
      return value;
    }
  }
  return 0;
}

Server::Server(Handler aHandler, int aPort)
  : mHandler(std::move(aHandler))
  , mListener(Listen(aPort))
  , mPort(PortOf(mListener))
  , mThread([this] { Run(); })
{
}

Server::~Server()
{
  mStop = true;
  shutdown(mListener.Fd(), SHUT_RDWR);
  mThread.join();
}

void
Server::Run()
{
  while (!mStop) {
    Socket accepted = Accept(mListener);
    if (!accepted.Open()) {
      continue;
    }
    std::thread([this, socket = std::move(accepted)] {
      Reader reader(socket);
      Message request;
      while (!mStop && reader.ReadRequest(request) &&
             mHandler(socket, request)) {
      }
    }).detach();
  }
}

} // namespace review
