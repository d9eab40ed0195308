#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standin {

/**
 * One HTTP request and the connection it came on. The handler responds with
 * Send() or with StartStream(), Write() and EndStream(), or calls Cut().
 *
 * Uses Boost.Beast instead of ulfius: a stand-in must detect at once that its
 * client disconnected while nothing is written, send nothing for as long as a
 * test requires, and reset a connection at a chosen byte.
 */
class Exchange
{
public:
  class Impl;
  explicit Exchange(Impl& aImpl);

  const std::string& Method() const;
  /** Without the query string. */
  std::string Path() const;
  /** Returns a decoded parameter of the query string, or "". */
  std::string Parameter(const std::string& aName) const;
  std::string Header(const std::string& aName) const;
  const std::string& Body() const;

  /** aETag: the body's ETag, or empty. */
  void Send(int aStatus,
            const std::string& aBody,
            const std::string& aType = "application/json",
            const std::string& aETag = "");
  /** Sends a body without a length or chunks, and closes the connection. */
  void SendUnframed(int aStatus, const std::string& aBody);
  /** Adds a header to the response that Send() writes. */
  void SetHeader(const std::string& aName, const std::string& aValue);
  void StartStream(int aStatus, const std::string& aType);
  /** Returns false once the client has disconnected. */
  bool Write(const std::string& aData);
  void EndStream();
  /** Resets the connection, so that the response cannot look complete. */
  void Cut();
  /** Returns whether the client has disconnected. */
  bool ClientLeft() const;

private:
  Impl& mImpl;
};

/**
 * An HTTP/1.1 server with a thread for each connection. It listens from its
 * construction until the process ends.
 */
class StandinServer
{
public:
  using Handler = std::function<void(Exchange&)>;

  /** Throws boost::system::system_error if it cannot listen. */
  StandinServer(const std::string& aEndpoint, Handler aHandler);

  /** Returns `ADDRESS:PORT` with the actual port. */
  std::string Endpoint() const;

private:
  struct Listener;
  std::shared_ptr<Listener> mListener;
};

/** Prints `listening <role> <name> <endpoint>` on standard output. */
void
AnnounceListening(const std::string& aRole,
                  const std::string& aName,
                  const std::string& aEndpoint);

/** Waits for SIGTERM or SIGINT; call BlockStopSignals() in main() first. */
void
WaitForStopSignal();

/** Blocks the stop signals in this thread and in threads started later, so
 * that WaitForStopSignal() receives them. */
void
BlockStopSignals();

} // namespace standin
