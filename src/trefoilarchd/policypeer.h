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

/** Answers peers that lack changes. Give it to a gRPC server. */
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

/** Asks peers for changes; one channel is kept, to the peer asked last. */
class PolicyPeerClient
{
public:
  /** None where the peer did not answer in time. */
  std::optional<PolicyDelta> Pull(const std::string& aAddress,
                                  uint64_t aAfter,
                                  Millis aTimeout);

private:
  std::string mAddress;
  std::unique_ptr<wire::PolicyPeer::Stub> mStub;
};

} // namespace trefoilarch
