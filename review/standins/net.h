#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/** Sockets and HTTP messages of the stand-ins. */
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/** A descriptor that is closed at the end. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept
    : mDescriptor(std::exchange(aOther.mDescriptor, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Get() const { return mDescriptor; }
  bool IsOpen() const { return mDescriptor >= 0; }
  void Close();

private:
  int mDescriptor = -1;
};

/** One HTTP message. Names of headers are in lower case. */
struct Message
{
  /** The three words of the first line. */
  std::string mFirst;
  std::string mSecond;
  std::string mThird;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const;
  bool Has(const std::string& aName) const;
  int Status() const;
  /** Of the target's query. */
  std::string Parameter(const std::string& aName) const;
  std::string Path() const;
};

/** A listening socket; port 0 draws a free one. Not open on failure. */
Socket
Listen(const std::string& aIp, uint16_t aPort);

uint16_t
PortOf(const Socket& aSocket);

/** A port that is free at this address, for TCP and UDP. */
uint16_t
FreePort(const std::string& aIp);

/** Not open on failure. */
Socket
Connect(const std::string& aAddress, Ms aTimeout);

bool
SendAll(int aDescriptor, const std::string& aBytes);

/** Reads messages from one connection. */
class Reader
{
public:
  explicit Reader(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /** The next whole message; empty if the connection ends, or the time is over,
   * before that. */
  std::optional<Message> Next(Clock::time_point aUntil);

  /** Reads only the first line and the headers, without the body. */
  std::optional<Message> NextHead(Clock::time_point aUntil);

  /** Reads the body of a message whose head was read, with a length or in
   * chunks. */
  bool ReadBody(Message& aMessage, Clock::time_point aUntil);

private:
  bool Fill(Clock::time_point aUntil);

  int mDescriptor;
  std::string mBytes;
};

std::string
ToBase64(const std::string& aText);

} // namespace review
