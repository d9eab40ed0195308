#include "policypeer.h"

#include <chrono>

namespace trefoilarch {

namespace {

/** A snapshot at its expected size after two years is about a megabyte. */
constexpr int kMaxMessageBytes = 64 * 1024 * 1024;

} // namespace

PolicyPeerServer::PolicyPeerServer(Source aSource)
  : mSource(std::move(aSource))
{
}

grpc::Status
PolicyPeerServer::Pull(grpc::ServerContext* /*aContext*/,
                       const wire::PolicyPullRequest* aRequest,
                       wire::PolicyPullReply* aReply)
{
  PolicyDelta delta = mSource(aRequest->after_version());
  aReply->set_snapshot_version(delta.mSnapshotVersion);
  aReply->set_snapshot_json(std::move(delta.mSnapshotText));
  for (LogRow& row : delta.mRows) {
    wire::PolicyChange* change = aReply->add_changes();
    change->set_version(row.mVersion);
    change->set_change_json(std::move(row.mText));
  }
  return grpc::Status::OK;
}

std::optional<PolicyDelta>
PolicyPeerClient::Pull(const std::string& aAddress,
                       uint64_t aAfter,
                       Millis aTimeout)
{
  if (!mStub || mAddress != aAddress) {
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    mStub = wire::PolicyPeer::NewStub(grpc::CreateCustomChannel(
      aAddress, grpc::InsecureChannelCredentials(), arguments));
    mAddress = aAddress;
  }
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(aTimeout.Count()));
  wire::PolicyPullRequest request;
  request.set_after_version(aAfter);
  wire::PolicyPullReply reply;
  if (!mStub->Pull(&context, request, &reply).ok()) {
    mStub.reset();
    return std::nullopt;
  }
  PolicyDelta delta;
  delta.mSnapshotVersion = reply.snapshot_version();
  delta.mSnapshotText = reply.snapshot_json();
  for (const wire::PolicyChange& change : reply.changes()) {
    delta.mRows.push_back({ change.version(), change.change_json() });
  }
  return delta;
}

} // namespace trefoilarch
