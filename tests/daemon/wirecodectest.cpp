#include "wirecodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

AttemptKey
AnyKey()
{
  return AttemptKey{ .mRequest = { *rc::gen::arbitrary<uint64_t>(),
                                   *rc::gen::arbitrary<uint64_t>() },
                     .mAttempt = *rc::gen::arbitrary<uint32_t>() };
}

Millis
AnyDuration()
{
  return Millis(*rc::gen::inRange<int64_t>(0, 1 << 30));
}

std::string
AnyBytes()
{
  return *rc::gen::arbitrary<std::string>();
}

std::string
AnyText()
{
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

Load
AnyLoad()
{
  return Load{ .mRunning = *rc::gen::arbitrary<uint32_t>(),
               .mWaiting = *rc::gen::arbitrary<uint32_t>(),
               .mTokensInFlight = *rc::gen::arbitrary<uint64_t>(),
               .mTokenCapacity = *rc::gen::arbitrary<uint64_t>(),
               .mTokensWaiting = *rc::gen::arbitrary<uint64_t>(),
               .mDraining = *rc::gen::arbitrary<bool>() };
}

Offer
AnyOffer()
{
  Offer offer;
  offer.mKey = AnyKey();
  offer.mLevel.mClass = AnyText();
  offer.mLevel.mWorkspace = AnyText();
  offer.mLevel.mTier = *rc::gen::inRange<Tier>(0, kTierCount);
  offer.mLevel.mFloor = *rc::gen::inRange(0, 100) / 100.0;
  offer.mLevel.mWeight = *rc::gen::inRange(1, 100) / 10.0;
  offer.mLevel.mFirstTokenTarget = AnyDuration();
  offer.mLevel.mBetweenTokenTarget = AnyDuration();
  offer.mDeadline = AnyDuration();
  offer.mFirstTokenDue = AnyDuration();
  offer.mPromptTokens = *rc::gen::arbitrary<uint32_t>();
  offer.mOutputTokens = *rc::gen::arbitrary<uint32_t>();
  offer.mPrefixHash = *rc::gen::arbitrary<uint64_t>();
  offer.mIdempotent = *rc::gen::arbitrary<bool>();
  return offer;
}

EntryMessage
AnyEntryMessage()
{
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return Hello{ AnyText(), AnyText(), *rc::gen::arbitrary<uint64_t>() };
    case 1:
      return AnyOffer();
    case 2:
      return Withdraw{ AnyKey() };
    case 3:
      return Start{ AnyKey(),
                    Call{ AnyText(),
                          AnyText(),
                          { { AnyText(), AnyText() } },
                          AnyBytes(),
                          *rc::gen::arbitrary<bool>() } };
    case 4:
      return Ack{ AnyKey(), *rc::gen::arbitrary<uint64_t>() };
    case 5:
      return Resume{ AnyKey(), *rc::gen::arbitrary<uint64_t>() };
    case 6:
      return VoidOrReport{ AnyKey() };
    default:
      return EntryHeartbeat{ *rc::gen::arbitrary<uint64_t>() };
  }
}

SidecarMessage
AnySidecarMessage()
{
  const auto number = *rc::gen::arbitrary<uint64_t>();
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
      return Welcome{ AnyText(), number,   AnyText(), { { "k", AnyText() } },
                      number,    AnyLoad() };
    case 1:
      return Grant{ AnyKey(), AnyDuration() };
    case 2:
      return Decline{ AnyKey(), ErrorKind::DeadlineUnmeetable, AnyDuration() };
    case 3:
      return Voided{ AnyKey(), number };
    case 4:
      return Chunk{ AnyKey(), number, AnyBytes(), 7, 200, { { "a", "b" } } };
    case 5:
      return Finished{ AnyKey(), number, 3, 4 };
    case 6:
      return Failed{ AnyKey(),
                     ErrorKind::AnswerCut,
                     *rc::gen::element(Ran::No, Ran::Maybe),
                     number };
    case 7:
      return LedgerEntry{ AnyKey(), AttemptState::Running, number };
    default:
      return SidecarHeartbeat{ AnyLoad(), number };
  }
}

/** Serializes and parses an envelope. */
template<typename Envelope>
Envelope
OverTheWire(const Envelope& aEnvelope)
{
  Envelope received;
  cr_assert(received.ParseFromString(aEnvelope.SerializeAsString()));
  return received;
}

} // namespace

Test(wirecodec, entry_messages_arrive_as_sent)
{
  const bool holds = rc::check([] {
    const EntryMessage message = AnyEntryMessage();
    RC_ASSERT(Decode(OverTheWire(Encode(message))) == message);
  });
  cr_assert(holds);
}

Test(wirecodec, sidecar_messages_arrive_as_sent)
{
  const bool holds = rc::check([] {
    const SidecarMessage message = AnySidecarMessage();
    RC_ASSERT(Decode(OverTheWire(Encode(message))) == message);
  });
  cr_assert(holds);
}

Test(wirecodec, an_unknown_message_is_not_decoded)
{
  cr_assert(!Decode(wire::EntryEnvelope()));
  cr_assert(!Decode(wire::SidecarEnvelope()));
}

Test(wirecodec, an_unknown_error_kind_is_internal)
{
  wire::SidecarEnvelope envelope;
  envelope.mutable_failed()->set_kind(1 << 20);
  const auto message = Decode(envelope);
  cr_assert(std::get<Failed>(*message).mKind == ErrorKind::Internal);
}
