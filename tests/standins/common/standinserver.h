#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standin {

/**
 * One HTTP request and the connection it came on. The handler answers it by
 * Send(), or by StartStream(), Write() and EndStream(), or cuts it.
 *
 * Built on Boost.Beast and not on ulfius: a stand-in must notice at once that
 * its client has left while nothing is being written, say nothing at all for
 * as long as a test wants, and cut a connection at a chosen byte.
 */
class Exchange
{
public:
  class Impl;
  explicit Exchange(Impl& aImpl);

  const std::string& Method() const;
  /** Without the query string. */
  std::string Path() const;
  /** A parameter of the query string, decoded; else empty. */
  std::string Parameter(const std::string& aName) const;
  std::string Header(const std::string& aName) const;
  const std::string& Body() const;

  /** aTag: the body's ETag, where it has one. */
  void Send(int aStatus,
            const std::string& aBody,
            const std::string& aType = "application/json",
            const std::string& aTag = "");
  void StartStream(int aStatus, const std::string& aType);
  /** False once the client has left. */
  bool Write(const std::string& aData);
  void EndStream();
  /** Resets the connection: the answer cannot look whole. */
  void Cut();
  /** Whether the client has closed its end. */
  bool ClientLeft() const;

private:
  Impl& mImpl;
};

/**
 * An HTTP/1.1 server with a thread for each connection. It listens at once
 * and lives until the process ends.
 */
class StandinServer
{
public:
  using Handler = std::function<void(Exchange&)>;

  /** Throws boost::system::system_error where it cannot listen. */
  StandinServer(const std::string& aEndpoint, Handler aHandler);

  /** `ADDRESS:PORT` with the port that was given. */
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

/** Keeps the stop signals for WaitForStopSignal(), in threads made later. */
void
BlockStopSignals();

} // namespace standin
