#include "callerlistener.h"

#include "connectionpool.h"

#include <chrono>
#include <vector>

namespace trefoilgate {

namespace asio = boost::asio;
using trefoilarch::Millis;

namespace {

/** Length of the queue of connections not yet accepted. */
constexpr int kBacklog = 1024;

/** Delay after a failure to accept, such as too many descriptors. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

CallerListener::CallerListener(asio::io_context& aLoop,
                               ListenerOptions aOptions,
                               CallerHooks aHooks)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mAcceptor(aLoop)
  , mAcceptRetryTimer(aLoop)
{
  mHooks.mOnClosed = [this](CallerConnection* aConnection) {
    mConnections.erase(aConnection);
  };
}

void
CallerListener::Open()
{
  const auto endpoint = ParseEndpoint(mOptions.mAddress);
  asio::ip::tcp::acceptor acceptor(mLoop);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(kBacklog);
  mAcceptor = std::move(acceptor);
  Accept();
}

std::string
CallerListener::Address() const
{
  const auto endpoint = mAcceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
CallerListener::Close()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
}

void
CallerListener::CheckTimeouts(Millis aNow)
{
  ForEach([aNow](CallerConnection& aEach) { aEach.CheckTimeouts(aNow); });
}

void
CallerListener::CloseIdle(Millis aMinIdleTime, Millis aNow)
{
  ForEach([aMinIdleTime, aNow](CallerConnection& aEach) {
    if (aEach.IdleTime(aNow) >= aMinIdleTime) {
      aEach.Close();
    }
  });
}

void
CallerListener::CloseAll()
{
  ForEach([](CallerConnection& aEach) { aEach.Close(); });
}

void
CallerListener::Accept()
{
  mAcceptor.async_accept([this](const boost::system::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
      mAcceptRetryTimer.async_wait(
        [this](const boost::system::error_code& aTimerError) {
          if (!aTimerError) {
            Accept();
          }
        });
      return;
    }
    Add(std::move(aSocket));
    Accept();
  });
}

void
CallerListener::Add(asio::ip::tcp::socket aSocket)
{
  if (mConnections.size() >= mOptions.mMaxConnections && !MakeRoom()) {
    return;
  }
  SetSocketOptions(aSocket, kCallerKeepalive);
  const auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), mHooks);
  mConnections[connection.get()] = connection;
  connection->Start();
}

bool
CallerListener::MakeRoom()
{
  CallerConnection* first = nullptr;
  ClosingRank lowest;
  for (const auto& [key, connection] : mConnections) {
    const auto rank = connection->Rank();
    if (rank && (first == nullptr || *rank < lowest)) {
      first = key;
      lowest = *rank;
    }
  }
  if (first == nullptr) {
    return false;
  }
  if (mOptions.mOnCut) {
    mOptions.mOnCut({ .mCaller = *first,
                      .mReason = CutReason::ConnectionCount,
                      .mHeldBytes = first->MemoryBytes() });
  }
  first->Cut(CutReason::ConnectionCount);
  return true;
}

template<typename Action>
void
CallerListener::ForEach(const Action& aAction)
{
  std::vector<std::shared_ptr<CallerConnection>> all;
  all.reserve(mConnections.size());
  for (const auto& [key, connection] : mConnections) {
    all.push_back(connection);
  }
  for (const auto& connection : all) {
    aAction(*connection);
  }
}

} // namespace trefoilgate
