#pragma once

#include "lease.h"
#include "millis.h"

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** What a model engine can be told to do. Each may be repeated safely. */
enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
};

/** An operator's order to the engine beside this process. */
struct EngineOrder
{
  std::string mId;
  OrderKind mKind = OrderKind::LoadModel;
  std::string mName;   /**< model, adapter or role */
  std::string mSource; /**< where its weights are, for loads */

  bool operator==(const EngineOrder&) const = default;
};

/** How an order ended. */
enum class OrderOutcome
{
  Done,
  Failed,  /**< the engine said no */
  NotSent, /**< it had no lease or no slot in time */
  Unknown, /**< it was sent, and nobody knows what became of it */
};

/** How a process gives orders; times in milliseconds. */
struct OrderOptions
{
  /** The upstream's name: its lease is of all who give it orders. */
  std::string mUpstream;
  /** Unique to this process and this start of it. */
  std::string mHolder;
  /** The engine refuses an order that carries an old fencing number. */
  bool mEngineChecksFencing = true;
  /** No order takes longer, from its sending to its effect. */
  Millis mMaxOrderDuration{ 60000 };
  /** What a lease lasts beyond what it has to cover. */
  Millis mLeaseMargin{ 10000 };
  /** An order that is not done by then is given up. */
  Millis mOrderTimeout{ 600000 };
  /** Loads that the weight store bears at a time, over the whole fleet. */
  size_t mLoadSlots = 4;
  /** After this long at a slot that is taken, the next one is tried. */
  Millis mSlotTimeout{ 3000 };
  Millis mRetryInterval{ 1000 };
  size_t mMaxWaiting = 32;
  uint64_t mSeed = 1;
};

/** Read or write of a lease's row, under its key; OnLeaseRead/Written. */
struct LeaseRowAction
{
  std::string mKey;
  std::variant<ReadLease, WriteLease> mAction;
};

/**
 * Send the order to the engine, if MaySend() still says so right before;
 * OnReply in any case.
 */
struct SendOrder
{
  EngineOrder mOrder;
  uint64_t mFencingNumber = 0;
};

/** Tells an order's end, once. */
struct OrderEnded
{
  std::string mId;
  OrderOutcome mOutcome = OrderOutcome::NotSent;
};

using OrderAction = std::variant<LeaseRowAction, SendOrder, OrderEnded>;
using OrderActions = std::vector<OrderAction>;

/** What came of a SendOrder. */
enum class OrderReply
{
  Done,
  Refused,
  StaleFencingNumber, /**< the engine has seen a higher fencing number */
  NotSent,
  Unknown,
};

/**
 * Gives orders to one engine, one at a time, under the upstream's lease.
 *
 * An engine that checks fencing numbers protects itself from a holder that
 * slept. For one that ignores them, an order is sent only while the lease is
 * good for the longest order's time, and a process that took the lease over
 * from one that did not give it back waits that time before its first order.
 *
 * A load needs one of the fleet's load slots besides, each a lease of its
 * own, so that the weight store is not asked by all at once. Single-threaded.
 */
class Orders
{
public:
  explicit Orders(OrderOptions aOptions);

  OrderActions Submit(EngineOrder aOrder, Millis aNow);
  OrderActions OnLeaseRead(const std::string& aKey,
                           const LeaseFound& aFound,
                           Millis aNow);
  OrderActions OnLeaseWritten(const std::string& aKey,
                              LeaseWriteOutcome aOutcome,
                              int64_t aRevision,
                              Millis aNow);
  OrderActions OnReply(OrderReply aReply, Millis aNow);
  OrderActions OnTick(Millis aNow);

  /** To be asked with the time read right before sending. */
  bool MaySend(Millis aNow) const;
  size_t Waiting() const { return mOrders.size(); }
  uint64_t FencingNumber() const { return mLease.FencingNumber(); }
  Millis NextWake() const;

private:
  struct Entry
  {
    EngineOrder mOrder;
    Millis mDeadline;
    bool mMaybeSent = false;
  };

  void Advance(OrderActions& aOut, Millis aNow);
  void ExpireOrders(OrderActions& aOut, Millis aNow);
  void AdvanceSlot(OrderActions& aOut, Millis aNow);
  void Finish(OrderActions& aOut, OrderOutcome aOutcome);
  void ApplyLeaseActions(OrderActions& aOut,
                         const std::string& aKey,
                         LeaseActions aActions,
                         Millis aNow);
  bool NeedsSlot() const;
  Millis RequiredLeaseTime() const;
  Lease& Slot() { return mSlots[mSlot]; }
  const Lease& Slot() const { return mSlots[mSlot]; }
  /** The lease of that key, or null. */
  Lease* Find(const std::string& aKey);
  LeaseOptions OptionsFor(bool aSlot);

  OrderOptions mOptions;
  uint64_t mLeaseCount = 0; /**< made so far; each is a holder of its own */
  std::string mLeaseKey;
  Lease mLease;
  /** One for each load slot; at most one is wanted. Each goes on watching its
   * row, so that a slot whose holder is gone is found free in time. */
  std::vector<Lease> mSlots;
  size_t mSlot = 0;
  Millis mSlotSince;
  std::deque<Entry> mOrders;
  bool mSending = false;
  Millis mSendAllowedAt;
  /** Until then an order without an answer may be at work. */
  Millis mUncertainUntil;
  Millis mNextAttemptAt;
};

} // namespace trefoilarch
