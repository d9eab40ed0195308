#include "claimpeer.h"

#include <chrono>

namespace trefoilarch {

namespace {

/** At this many addresses, most of them stale, all stubs are dropped. */
constexpr size_t kMaxStubs = 64;

ClaimStatus
StatusFrom(uint32_t aNumber)
{
  const bool known = aNumber <= static_cast<uint32_t>(ClaimStatus::NotRun);
  return known ? static_cast<ClaimStatus>(aNumber) : ClaimStatus::NotKnown;
}

} // namespace

ClaimPeerServer::ClaimPeerServer(Source aSource)
  : mSource(std::move(aSource))
{
}

grpc::Status
ClaimPeerServer::Ask(grpc::ServerContext* /*aContext*/,
                     const wire::ClaimQuestion* aQuestion,
                     wire::ClaimReport* aReport)
{
  const ClaimReport report =
    mSource({ aQuestion->request_high(), aQuestion->request_low() });
  aReport->set_standing(static_cast<uint32_t>(report.mStatus));
  if (report.mAnswer) {
    aReport->set_has_answer(true);
    aReport->set_status(report.mAnswer->mStatus);
    aReport->set_content_type(report.mAnswer->mContentType);
    aReport->set_body(report.mAnswer->mBody);
  }
  return grpc::Status::OK;
}

ClaimReport
ClaimPeerClient::Ask(const std::string& aAddress,
                     RequestId aId,
                     Millis aTimeout)
{
  if (mStubs.size() >= kMaxStubs) {
    mStubs.clear();
  }
  auto& stub = mStubs[aAddress];
  if (!stub) {
    stub = wire::ClaimPeer::NewStub(
      grpc::CreateChannel(aAddress, grpc::InsecureChannelCredentials()));
  }
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(aTimeout.Count()));
  wire::ClaimQuestion question;
  question.set_request_high(aId.mHigh);
  question.set_request_low(aId.mLow);
  wire::ClaimReport reply;
  if (!stub->Ask(&context, question, &reply).ok()) {
    mStubs.erase(aAddress);
    return {};
  }
  ClaimReport report{ StatusFrom(reply.standing()), nullptr };
  if (reply.has_answer()) {
    report.mAnswer = std::make_shared<const CachedAnswer>(
      CachedAnswer{ reply.status(), reply.content_type(), reply.body() });
  }
  return report;
}

} // namespace trefoilarch
