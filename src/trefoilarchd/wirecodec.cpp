#include "wirecodec.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

void
Put(const AttemptKey& aKey, wire::Key* aWire)
{
  aWire->set_request_high(aKey.mRequest.mHigh);
  aWire->set_request_low(aKey.mRequest.mLow);
  aWire->set_attempt(aKey.mAttempt);
}

AttemptKey
Take(const wire::Key& aWire)
{
  return AttemptKey{ .mRequest = RequestId{ .mHigh = aWire.request_high(),
                                            .mLow = aWire.request_low() },
                     .mAttempt = aWire.attempt() };
}

template<typename Repeated>
void
PutHeaders(const Headers& aHeaders, Repeated* aWire)
{
  for (const auto& [name, value] : aHeaders) {
    auto* header = aWire->Add();
    header->set_name(name);
    header->set_value(value);
  }
}

template<typename Repeated>
Headers
TakeHeaders(const Repeated& aWire)
{
  Headers headers;
  headers.reserve(aWire.size());
  for (const auto& header : aWire) {
    headers.emplace_back(header.name(), header.value());
  }
  return headers;
}

/** Reads an error kind; Internal if this version does not know it. */
ErrorKind
TakeKind(uint32_t aWire)
{
  const auto last = static_cast<uint32_t>(ErrorKind::Internal);
  return static_cast<ErrorKind>(std::min(aWire, last));
}

void
Put(const Load& aLoad, wire::Load* aWire)
{
  aWire->set_running(aLoad.mRunning);
  aWire->set_waiting(aLoad.mWaiting);
  aWire->set_tokens_in_flight(aLoad.mTokensInFlight);
  aWire->set_token_room(aLoad.mTokenCapacity);
  aWire->set_tokens_waiting(aLoad.mTokensWaiting);
  aWire->set_draining(aLoad.mDraining);
}

Load
Take(const wire::Load& aWire)
{
  return Load{ .mRunning = aWire.running(),
               .mWaiting = aWire.waiting(),
               .mTokensInFlight = aWire.tokens_in_flight(),
               .mTokenCapacity = aWire.token_room(),
               .mTokensWaiting = aWire.tokens_waiting(),
               .mDraining = aWire.draining() };
}

/** Writes each kind of entry message into its envelope. */
struct EntryEncoder
{
  wire::EntryEnvelope& mEnvelope;

  void operator()(const Hello& aHello) const
  {
    auto* wire = mEnvelope.mutable_hello();
    wire->set_entry(aHello.mEntry);
    wire->set_data_centre(aHello.mDataCentre);
    wire->set_policy_version(aHello.mPolicyVersion);
  }

  void operator()(const Offer& aOffer) const
  {
    auto* wire = mEnvelope.mutable_offer();
    Put(aOffer.mKey, wire->mutable_key());
    wire->set_class_name(aOffer.mLevel.mClass);
    wire->set_workspace(aOffer.mLevel.mWorkspace);
    wire->set_tier(aOffer.mLevel.mTier);
    wire->set_floor(aOffer.mLevel.mFloor);
    wire->set_weight(aOffer.mLevel.mWeight);
    wire->set_first_token_target_ms(aOffer.mLevel.mFirstTokenTarget.Count());
    wire->set_between_token_target_ms(
      aOffer.mLevel.mBetweenTokenTarget.Count());
    wire->set_deadline_ms(aOffer.mDeadline.Count());
    wire->set_first_token_due_ms(aOffer.mFirstTokenDue.Count());
    wire->set_prompt_tokens(aOffer.mPromptTokens);
    wire->set_output_tokens(aOffer.mOutputTokens);
    wire->set_prefix_hash(aOffer.mPrefixHash);
    wire->set_idempotent(aOffer.mIdempotent);
  }

  void operator()(const Withdraw& aWithdraw) const
  {
    Put(aWithdraw.mKey, mEnvelope.mutable_withdraw()->mutable_key());
  }

  void operator()(const Start& aStart) const
  {
    auto* wire = mEnvelope.mutable_start();
    Put(aStart.mKey, wire->mutable_key());
    auto* call = wire->mutable_call();
    call->set_method(aStart.mCall.mMethod);
    call->set_path(aStart.mCall.mPath);
    PutHeaders(aStart.mCall.mHeaders, call->mutable_headers());
    call->set_body(aStart.mCall.mBody);
    call->set_token_stream(aStart.mCall.mTokenStream);
  }

  void operator()(const Ack& aAck) const
  {
    Put(aAck.mKey, mEnvelope.mutable_ack()->mutable_key());
    mEnvelope.mutable_ack()->set_next_chunk(aAck.mNextChunk);
  }

  void operator()(const Resume& aResume) const
  {
    Put(aResume.mKey, mEnvelope.mutable_resume()->mutable_key());
    mEnvelope.mutable_resume()->set_next_chunk(aResume.mNextChunk);
  }

  void operator()(const VoidOrReport& aQuery) const
  {
    Put(aQuery.mKey, mEnvelope.mutable_void_or_report()->mutable_key());
  }

  void operator()(const EntryHeartbeat& aHeartbeat) const
  {
    mEnvelope.mutable_heartbeat()->set_policy_version(
      aHeartbeat.mPolicyVersion);
  }
};

/** Writes each kind of sidecar message into its envelope. */
struct SidecarEncoder
{
  wire::SidecarEnvelope& mEnvelope;

  void operator()(const Welcome& aWelcome) const
  {
    auto* wire = mEnvelope.mutable_welcome();
    wire->set_upstream(aWelcome.mUpstream);
    wire->set_incarnation(aWelcome.mIncarnation);
    wire->set_data_centre(aWelcome.mDataCentre);
    for (const auto& [key, value] : aWelcome.mLabels) {
      (*wire->mutable_labels())[key] = value;
    }
    wire->set_policy_version(aWelcome.mPolicyVersion);
    Put(aWelcome.mLoad, wire->mutable_load());
  }

  void operator()(const Grant& aGrant) const
  {
    Put(aGrant.mKey, mEnvelope.mutable_grant()->mutable_key());
    mEnvelope.mutable_grant()->set_valid_for_ms(aGrant.mValidFor.Count());
  }

  void operator()(const Decline& aDecline) const
  {
    auto* wire = mEnvelope.mutable_decline();
    Put(aDecline.mKey, wire->mutable_key());
    wire->set_kind(static_cast<uint32_t>(aDecline.mKind));
    wire->set_retry_after_ms(aDecline.mRetryAfter.Count());
  }

  void operator()(const Voided& aVoided) const
  {
    Put(aVoided.mKey, mEnvelope.mutable_voided()->mutable_key());
    mEnvelope.mutable_voided()->set_incarnation(aVoided.mIncarnation);
  }

  void operator()(const Chunk& aChunk) const
  {
    auto* wire = mEnvelope.mutable_chunk();
    Put(aChunk.mKey, wire->mutable_key());
    wire->set_number(aChunk.mNumber);
    wire->set_data(aChunk.mData);
    wire->set_tokens(aChunk.mTokens);
    wire->set_status(aChunk.mStatus);
    PutHeaders(aChunk.mHeaders, wire->mutable_headers());
  }

  void operator()(const Finished& aFinished) const
  {
    auto* wire = mEnvelope.mutable_finished();
    Put(aFinished.mKey, wire->mutable_key());
    wire->set_chunks(aFinished.mChunks);
    wire->set_prompt_tokens(aFinished.mPromptTokens);
    wire->set_output_tokens(aFinished.mOutputTokens);
  }

  void operator()(const Failed& aFailed) const
  {
    auto* wire = mEnvelope.mutable_failed();
    Put(aFailed.mKey, wire->mutable_key());
    wire->set_kind(static_cast<uint32_t>(aFailed.mKind));
    wire->set_maybe_ran(aFailed.mRan == Ran::Maybe);
    wire->set_chunks(aFailed.mChunks);
  }

  void operator()(const LedgerEntry& aEntry) const
  {
    auto* wire = mEnvelope.mutable_ledger_entry();
    Put(aEntry.mKey, wire->mutable_key());
    wire->set_state(static_cast<uint32_t>(aEntry.mState));
    wire->set_incarnation(aEntry.mIncarnation);
  }

  void operator()(const SidecarHeartbeat& aHeartbeat) const
  {
    auto* wire = mEnvelope.mutable_heartbeat();
    Put(aHeartbeat.mLoad, wire->mutable_load());
    wire->set_policy_version(aHeartbeat.mPolicyVersion);
  }
};

Offer
Take(const wire::Offer& aWire)
{
  Offer offer;
  offer.mKey = Take(aWire.key());
  offer.mLevel.mClass = aWire.class_name();
  offer.mLevel.mWorkspace = aWire.workspace();
  offer.mLevel.mTier =
    static_cast<Tier>(std::min<uint32_t>(aWire.tier(), kTierCount - 1));
  offer.mLevel.mFloor = aWire.floor();
  offer.mLevel.mWeight = aWire.weight();
  offer.mLevel.mFirstTokenTarget = Millis(aWire.first_token_target_ms());
  offer.mLevel.mBetweenTokenTarget = Millis(aWire.between_token_target_ms());
  offer.mDeadline = Millis(aWire.deadline_ms());
  offer.mFirstTokenDue = Millis(aWire.first_token_due_ms());
  offer.mPromptTokens = aWire.prompt_tokens();
  offer.mOutputTokens = aWire.output_tokens();
  offer.mPrefixHash = aWire.prefix_hash();
  offer.mIdempotent = aWire.idempotent();
  return offer;
}

Start
Take(wire::Start& aWire)
{
  wire::Call& call = *aWire.mutable_call();
  return Start{ .mKey = Take(aWire.key()),
                .mCall = Call{ .mMethod = call.method(),
                               .mPath = call.path(),
                               .mHeaders = TakeHeaders(call.headers()),
                               .mBody = std::move(*call.mutable_body()),
                               .mTokenStream = call.token_stream() } };
}

Welcome
Take(const wire::Welcome& aWire)
{
  return Welcome{ .mUpstream = aWire.upstream(),
                  .mIncarnation = aWire.incarnation(),
                  .mDataCentre = aWire.data_centre(),
                  .mLabels = { aWire.labels().begin(), aWire.labels().end() },
                  .mPolicyVersion = aWire.policy_version(),
                  .mLoad = Take(aWire.load()) };
}

Chunk
Take(wire::Chunk& aWire)
{
  return Chunk{ .mKey = Take(aWire.key()),
                .mNumber = aWire.number(),
                .mData = std::move(*aWire.mutable_data()),
                .mTokens = aWire.tokens(),
                .mStatus = aWire.status(),
                .mHeaders = TakeHeaders(aWire.headers()) };
}

} // namespace

wire::EntryEnvelope
Encode(const EntryMessage& aMessage)
{
  wire::EntryEnvelope envelope;
  std::visit(EntryEncoder{ envelope }, aMessage);
  return envelope;
}

wire::SidecarEnvelope
Encode(const SidecarMessage& aMessage)
{
  wire::SidecarEnvelope envelope;
  std::visit(SidecarEncoder{ envelope }, aMessage);
  return envelope;
}

std::optional<EntryMessage>
Decode(wire::EntryEnvelope aEnvelope)
{
  using Case = wire::EntryEnvelope::MessageCase;
  switch (aEnvelope.message_case()) {
    case Case::kHello:
      return Hello{ .mEntry = aEnvelope.hello().entry(),
                    .mDataCentre = aEnvelope.hello().data_centre(),
                    .mPolicyVersion = aEnvelope.hello().policy_version() };
    case Case::kOffer:
      return Take(aEnvelope.offer());
    case Case::kWithdraw:
      return Withdraw{ .mKey = Take(aEnvelope.withdraw().key()) };
    case Case::kStart:
      return Take(*aEnvelope.mutable_start());
    case Case::kAck:
      return Ack{ .mKey = Take(aEnvelope.ack().key()),
                  .mNextChunk = aEnvelope.ack().next_chunk() };
    case Case::kResume:
      return Resume{ .mKey = Take(aEnvelope.resume().key()),
                     .mNextChunk = aEnvelope.resume().next_chunk() };
    case Case::kVoidOrReport:
      return VoidOrReport{ .mKey = Take(aEnvelope.void_or_report().key()) };
    case Case::kHeartbeat:
      return EntryHeartbeat{ .mPolicyVersion =
                               aEnvelope.heartbeat().policy_version() };
    case Case::MESSAGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::optional<SidecarMessage>
Decode(wire::SidecarEnvelope aEnvelope)
{
  using Case = wire::SidecarEnvelope::MessageCase;
  switch (aEnvelope.message_case()) {
    case Case::kWelcome:
      return Take(aEnvelope.welcome());
    case Case::kGrant:
      return Grant{ .mKey = Take(aEnvelope.grant().key()),
                    .mValidFor = Millis(aEnvelope.grant().valid_for_ms()) };
    case Case::kDecline:
      return Decline{ .mKey = Take(aEnvelope.decline().key()),
                      .mKind = TakeKind(aEnvelope.decline().kind()),
                      .mRetryAfter =
                        Millis(aEnvelope.decline().retry_after_ms()) };
    case Case::kVoided:
      return Voided{ .mKey = Take(aEnvelope.voided().key()),
                     .mIncarnation = aEnvelope.voided().incarnation() };
    case Case::kChunk:
      return Take(*aEnvelope.mutable_chunk());
    case Case::kFinished:
      return Finished{ .mKey = Take(aEnvelope.finished().key()),
                       .mChunks = aEnvelope.finished().chunks(),
                       .mPromptTokens = aEnvelope.finished().prompt_tokens(),
                       .mOutputTokens = aEnvelope.finished().output_tokens() };
    case Case::kFailed:
      return Failed{ .mKey = Take(aEnvelope.failed().key()),
                     .mKind = TakeKind(aEnvelope.failed().kind()),
                     .mRan =
                       aEnvelope.failed().maybe_ran() ? Ran::Maybe : Ran::No,
                     .mChunks = aEnvelope.failed().chunks() };
    case Case::kLedgerEntry:
      return LedgerEntry{
        .mKey = Take(aEnvelope.ledger_entry().key()),
        .mState = static_cast<AttemptState>(aEnvelope.ledger_entry().state()),
        .mIncarnation = aEnvelope.ledger_entry().incarnation()
      };
    case Case::kHeartbeat:
      return SidecarHeartbeat{ .mLoad = Take(aEnvelope.heartbeat().load()),
                               .mPolicyVersion =
                                 aEnvelope.heartbeat().policy_version() };
    case Case::MESSAGE_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace trefoilarch
