#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace integration {

/** An upstream whose answers are written byte by byte, one connection a
 * thread. */
class RawUpstream
{
public:
  using Tcp = boost::asio::ip::tcp;
  /** Answers a request whose head has been read; the connection closes with its
   * return. */
  using Answer = std::function<void(Tcp::socket&)>;

  /** Listens at the port, or at any. */
  explicit RawUpstream(Answer aAnswer, uint16_t aPort = 0);
  ~RawUpstream();
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  std::string Address() const;
  /** Requests whose head has been read, and those that are being answered. */
  size_t Requests() const { return mRequests; }
  size_t Open() const { return mOpen; }

  /** Writes until it is done or the connection fails; returns the bytes
   * written. */
  static size_t Write(Tcp::socket& aSocket, const std::string& aText);
  /** Closes the connection with a reset. */
  static void Reset(Tcp::socket& aSocket);
  /** Writes the same text in blocks of 16 KB until the connection fails. By
   * default 3 MB/s, so that other tests have time beside this one. */
  static void WriteWithoutEnd(
    Tcp::socket& aSocket,
    const std::string& aText,
    std::chrono::milliseconds aGap = std::chrono::milliseconds(5));

private:
  void Accept();
  void Serve(Tcp::socket& aSocket);

  Answer mAnswer;
  boost::asio::io_context mLoop;
  Tcp::acceptor mAcceptor;
  std::atomic<bool> mStop = false;
  std::atomic<size_t> mRequests = 0;
  std::atomic<size_t> mOpen = 0;
  std::vector<std::unique_ptr<Tcp::socket>> mSockets;
  std::vector<std::jthread> mConnections;
  std::thread mThread;
};

} // namespace integration
