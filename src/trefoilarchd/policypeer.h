#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilarch/policylogmessages.h"

#include <grpcpp/grpcpp.h>
#include <trefoilarch.grpc.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoilarch {

/** Serves changes to peers that lack them. Register it with a gRPC server. */
class PolicyPeerServer final : public wire::PolicyPeer::Service
{
public:
  using Source = std::function<PolicyDelta(uint64_t aAfter)>;

  explicit PolicyPeerServer(Source aSource);

  grpc::Status Pull(grpc::ServerContext* aContext,
                    const wire::PolicyPullRequest* aRequest,
                    wire::PolicyPullReply* aReply) override;

private:
  Source mSource;
};

/** Pulls changes from peers. Only the channel to the last peer is kept. */
class PolicyPeerClient
{
public:
  /** Returns nullopt if the peer does not respond in time. */
  std::optional<PolicyDelta> Pull(const std::string& aAddress,
                                  uint64_t aAfter,
                                  Millis aTimeout);

private:
  std::string mAddress;
  std::unique_ptr<wire::PolicyPeer::Stub> mStub;
};

} // namespace trefoilarch
