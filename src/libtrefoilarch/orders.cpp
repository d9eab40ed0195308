#include "orders.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

const std::string kSlotPrefix = "lease/loads/";

std::string
SlotKey(size_t aSlot)
{
  return kSlotPrefix + std::to_string(aSlot);
}

} // namespace

Orders::Orders(OrderOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLeaseKey("lease/orders/" + mOptions.mUpstream)
  , mLease(OptionsFor(false))
{
  const size_t slots = std::max<size_t>(1, mOptions.mLoadSlots);
  const std::string& name = mOptions.mUpstream;
  mSlot = XXH3_64bits(name.data(), name.size()) % slots;
  for (size_t slot = 0; slot < slots; ++slot) {
    mSlots.emplace_back(OptionsFor(true));
  }
}

LeaseOptions
Orders::OptionsFor(bool aSlot)
{
  const bool coversOrder = aSlot || !mOptions.mEngineChecksFencing;
  LeaseOptions options;
  options.mHolder = mOptions.mHolder + "/" + std::to_string(++mLeaseCount);
  options.mDuration = mOptions.mLeaseMargin +
                      (coversOrder ? mOptions.mMaxOrderDuration : Millis());
  options.mMargin = options.mDuration / 20;
  options.mRenewAfter = options.mDuration / 10;
  options.mSeed = mOptions.mSeed + (aSlot ? 1 : 0);
  return options;
}

OrderActions
Orders::Submit(EngineOrder aOrder, Millis aNow)
{
  OrderActions out;
  if (mOrders.size() >= mOptions.mMaxWaiting) {
    out.emplace_back(OrderEnded{ aOrder.mId, OrderOutcome::NotSent });
    return out;
  }
  mOrders.push_back(
    { std::move(aOrder), aNow + mOptions.mOrderTimeout, false });
  Advance(out, aNow);
  return out;
}

OrderActions
Orders::OnLeaseRead(const std::string& aKey,
                    const LeaseFound& aFound,
                    Millis aNow)
{
  OrderActions out;
  if (Lease* lease = Find(aKey)) {
    ApplyLeaseActions(out, aKey, lease->OnRead(aFound, aNow), aNow);
  }
  Advance(out, aNow);
  return out;
}

OrderActions
Orders::OnLeaseWritten(const std::string& aKey,
                       LeaseWriteOutcome aOutcome,
                       int64_t aRevision,
                       Millis aNow)
{
  OrderActions out;
  if (Lease* lease = Find(aKey)) {
    ApplyLeaseActions(
      out, aKey, lease->OnWritten(aOutcome, aRevision, aNow), aNow);
  }
  Advance(out, aNow);
  return out;
}

OrderActions
Orders::OnReply(OrderReply aReply, Millis aNow)
{
  OrderActions out;
  mSending = false;
  Entry& entry = mOrders.front();
  switch (aReply) {
    case OrderReply::Done:
      Finish(out, OrderOutcome::Done);
      break;
    case OrderReply::Refused:
      Finish(out, OrderOutcome::Failed);
      break;
    case OrderReply::Unknown:
      entry.mMaybeSent = true;
      mUncertainUntil = aNow + mOptions.mMaxOrderDuration;
      mNextAttemptAt = mUncertainUntil;
      break;
    case OrderReply::StaleFencingNumber:
    case OrderReply::NotSent:
      mNextAttemptAt = aNow + mOptions.mRetryInterval;
      break;
  }
  Advance(out, aNow);
  return out;
}

OrderActions
Orders::OnTick(Millis aNow)
{
  OrderActions out;
  ApplyLeaseActions(out, mLeaseKey, mLease.OnTick(aNow), aNow);
  for (size_t slot = 0; slot < mSlots.size(); ++slot) {
    ApplyLeaseActions(out, SlotKey(slot), mSlots[slot].OnTick(aNow), aNow);
  }
  Advance(out, aNow);
  return out;
}

bool
Orders::MaySend(Millis aNow) const
{
  return !mOrders.empty() && aNow >= mSendAllowedAt &&
         mLease.IsHeld(aNow, RequiredLeaseTime()) &&
         (!NeedsSlot() || Slot().IsHeld(aNow, mOptions.mMaxOrderDuration));
}

Millis
Orders::NextWake() const
{
  Millis wake = mLease.NextWake();
  for (const Lease& slot : mSlots) {
    wake = std::min(wake, slot.NextWake());
  }
  if (mOrders.empty()) {
    return mLease.Wanted() ? std::min(wake, mUncertainUntil) : wake;
  }
  if (!mSending) {
    wake = std::min(wake, std::max(mNextAttemptAt, mSendAllowedAt));
  }
  if (NeedsSlot() && mSlots.size() > 1 && !Slot().IsHeld(mSlotSince)) {
    wake = std::min(wake, mSlotSince + mOptions.mSlotTimeout);
  }
  return std::min(wake, mOrders.front().mDeadline);
}

void
Orders::Advance(OrderActions& aOut, Millis aNow)
{
  ExpireOrders(aOut, aNow);
  const bool wanted = !mOrders.empty() || aNow < mUncertainUntil;
  if (wanted != mLease.Wanted()) {
    ApplyLeaseActions(aOut, mLeaseKey, mLease.SetWanted(wanted, aNow), aNow);
  }
  AdvanceSlot(aOut, aNow);
  if (!mSending && aNow >= mNextAttemptAt && MaySend(aNow)) {
    mSending = true;
    aOut.emplace_back(
      SendOrder{ mOrders.front().mOrder, mLease.FencingNumber() });
  }
}

/** An order that has been sent is waited for, however late it is. */
void
Orders::ExpireOrders(OrderActions& aOut, Millis aNow)
{
  while (!mOrders.empty() && !mSending && mOrders.front().mDeadline <= aNow) {
    const bool sent = mOrders.front().mMaybeSent;
    Finish(aOut, sent ? OrderOutcome::Unknown : OrderOutcome::NotSent);
  }
}

/**
 * A slot is acquired once the engine's lease is held, and kept while in use.
 */
void
Orders::AdvanceSlot(OrderActions& aOut, Millis aNow)
{
  const bool mayBeInUse = Slot().Wanted() && aNow < mUncertainUntil;
  const bool wanted =
    mayBeInUse ||
    (NeedsSlot() && (mSending || mLease.IsHeld(aNow, RequiredLeaseTime())));
  if (wanted != Slot().Wanted()) {
    mSlotSince = aNow;
    ApplyLeaseActions(
      aOut, SlotKey(mSlot), Slot().SetWanted(wanted, aNow), aNow);
    return;
  }
  const bool slotTimedOut = wanted && !mayBeInUse && !mSending &&
                            !Slot().IsHeld(aNow) &&
                            aNow >= mSlotSince + mOptions.mSlotTimeout;
  if (slotTimedOut && mSlots.size() > 1) {
    ApplyLeaseActions(
      aOut, SlotKey(mSlot), Slot().SetWanted(false, aNow), aNow);
    mSlot = (mSlot + 1) % mSlots.size();
    mSlotSince = aNow;
    ApplyLeaseActions(aOut, SlotKey(mSlot), Slot().SetWanted(true, aNow), aNow);
  }
}

void
Orders::Finish(OrderActions& aOut, OrderOutcome aOutcome)
{
  aOut.emplace_back(
    OrderEnded{ std::move(mOrders.front().mOrder.mId), aOutcome });
  mOrders.pop_front();
}

void
Orders::ApplyLeaseActions(OrderActions& aOut,
                          const std::string& aKey,
                          LeaseActions aActions,
                          Millis aNow)
{
  for (LeaseAction& action : aActions) {
    if (const auto* gained = std::get_if<LeaseGained>(&action)) {
      const bool mustWait = aKey == mLeaseKey && gained->mTakenOver &&
                            !mOptions.mEngineChecksFencing;
      mSendAllowedAt =
        mustWait ? aNow + mOptions.mMaxOrderDuration : mSendAllowedAt;
    } else if (std::holds_alternative<ReadLease>(action)) {
      aOut.emplace_back(LeaseRowAction{ aKey, ReadLease{} });
    } else if (auto* write = std::get_if<WriteLease>(&action)) {
      aOut.emplace_back(LeaseRowAction{ aKey, std::move(*write) });
    }
  }
}

bool
Orders::NeedsSlot() const
{
  if (mOrders.empty()) {
    return false;
  }
  const OrderKind kind = mOrders.front().mOrder.mKind;
  return kind == OrderKind::LoadModel || kind == OrderKind::LoadAdapter;
}

/** How long the lease must remain valid when an order is sent. */
Millis
Orders::RequiredLeaseTime() const
{
  return mOptions.mEngineChecksFencing ? Millis() : mOptions.mMaxOrderDuration;
}

Lease*
Orders::Find(const std::string& aKey)
{
  if (aKey == mLeaseKey) {
    return &mLease;
  }
  for (size_t slot = 0; slot < mSlots.size(); ++slot) {
    if (aKey == SlotKey(slot)) {
      return &mSlots[slot];
    }
  }
  return nullptr;
}

} // namespace trefoilarch
