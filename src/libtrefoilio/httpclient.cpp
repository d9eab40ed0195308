#include "httpclient.h"

#include "outgoingrequest.h"

#include "libtrefoilgate/connectionpool.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace trefoilio {

using trefoilarch::Millis;
using trefoilgate::ClientConnection;
using trefoilgate::UpstreamAnswer;

namespace {

constexpr trefoilgate::KeepaliveOptions kKeepalive{ .mUserTimeout = Millis(0) };

/** One request and its reply, on an event loop of its own. */
class BlockingCall
{
public:
  explicit BlockingCall(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
    , mConnection(std::make_shared<ClientConnection>(mLoop))
  {
  }
  ~BlockingCall() { mConnection->Close(); }
  BlockingCall(const BlockingCall&) = delete;
  BlockingCall& operator=(const BlockingCall&) = delete;

  std::optional<HttpReply> Run(OutgoingRequest aRequest, Millis aTimeout)
  {
    mConnection->Connect(
      trefoilgate::ParseEndpoint(aRequest.mEndpoint),
      aTimeout,
      kKeepalive,
      [this, call = std::move(aRequest.mCall)](bool aConnected) {
        if (aConnected) {
          mConnection->Send(call, Handlers());
        } else {
          mLoop.stop();
        }
      });
    mLoop.run_for(std::chrono::milliseconds(aTimeout.Count()));
    return mComplete ? std::optional(std::move(mReply)) : std::nullopt;
  }

private:
  trefoilgate::CallHandlers Handlers()
  {
    return { .mOnHead =
               [this](const UpstreamAnswer& aAnswer) {
                 mReply.mStatus = aAnswer.mStatus;
                 mReply.mHeaders = HeadersOf(aAnswer);
               },
             .mOnData =
               [this](const std::string& aData) {
                 mReply.mBody += aData;
                 if (mReply.mBody.size() > mMaxBytes) {
                   mLoop.stop();
                 }
               },
             .mOnEnd =
               [this] {
                 mComplete = mReply.mBody.size() <= mMaxBytes;
                 mLoop.stop();
               },
             .mOnBroken = [this](const std::string&) { mLoop.stop(); } };
  }

  size_t mMaxBytes;
  boost::asio::io_context mLoop;
  std::shared_ptr<ClientConnection> mConnection;
  HttpReply mReply;
  bool mComplete = false;
};

} // namespace

std::optional<HttpReply>
SendHttp(const HttpRequest& aRequest, Millis aTimeout, size_t aMaxBytes)
{
  auto outgoing = MakeOutgoing(aRequest);
  if (!outgoing) {
    return std::nullopt;
  }
  return BlockingCall(aMaxBytes).Run(std::move(*outgoing), aTimeout);
}

} // namespace trefoilio
