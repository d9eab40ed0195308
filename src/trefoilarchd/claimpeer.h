#pragma once

#include "libtrefoilarch/claimmessages.h"
#include "libtrefoilarch/millis.h"

#include <grpcpp/grpcpp.h>
#include <trefoilarch.grpc.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace trefoilarch {

/** Reports the outcomes of this entry's requests to other entries. */
class ClaimPeerServer final : public wire::ClaimPeer::Service
{
public:
  using Source = std::function<ClaimReport(RequestId aId)>;

  explicit ClaimPeerServer(Source aSource);

  grpc::Status Ask(grpc::ServerContext* aContext,
                   const wire::ClaimQuestion* aQuestion,
                   wire::ClaimReport* aReport) override;

private:
  Source mSource;
};

/** Queries other entries for the outcomes of their requests. */
class ClaimPeerClient
{
public:
  /** Returns NotKnown if the entry does not respond in time. */
  ClaimReport Ask(const std::string& aAddress, RequestId aId, Millis aTimeout);

private:
  std::map<std::string, std::unique_ptr<wire::ClaimPeer::Stub>> mStubs;
};

} // namespace trefoilarch
