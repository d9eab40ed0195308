#pragma once

#include "lease.h"
#include "millis.h"

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** Orders that a model engine accepts; each may be repeated safely. */
enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
};

/** An operator's order to the engine of this process. */
struct EngineOrder
{
  std::string mId;
  OrderKind mKind = OrderKind::LoadModel;
  std::string mName;   /**< model, adapter or role */
  std::string mSource; /**< location of the weights, for loads */

  bool operator==(const EngineOrder&) const = default;
};

/** Result of an order. */
enum class OrderOutcome
{
  Done,
  Failed,  /**< the engine refused it */
  NotSent, /**< no lease or no slot could be acquired in time */
  Unknown, /**< it was sent, but its outcome is unknown */
};

/** Settings of Orders; times in milliseconds. */
struct OrderOptions
{
  /** The upstream's name; all processes that give it orders share its lease. */
  std::string mUpstream;
  /** Unique to this incarnation of the process. */
  std::string mHolder;
  /** The engine refuses an order that carries an old fencing number. */
  bool mEngineChecksFencing = true;
  /** Maximum time of any order, from sending to its effect. */
  Millis mMaxOrderDuration{ 60000 };
  /** How much longer a lease lasts than what it has to cover. */
  Millis mLeaseMargin{ 10000 };
  /** An order that is not done by then is given up. */
  Millis mOrderTimeout{ 600000 };
  /** Concurrent loads that the weight store can serve, over the whole fleet. */
  size_t mLoadSlots = 4;
  /** How long to wait for a taken slot before the next one is tried. */
  Millis mSlotTimeout{ 3000 };
  Millis mRetryInterval{ 1000 };
  size_t mMaxWaiting = 32;
  uint64_t mSeed = 1;
};

/**
 * Read or write a lease's row under its key; ends with OnLeaseRead or
 * OnLeaseWritten.
 */
struct LeaseRowAction
{
  std::string mKey;
  std::variant<ReadLease, WriteLease> mAction;
};

/**
 * Send the order to the engine, provided that MaySend() still holds right
 * before; ends with OnReply in any case.
 */
struct SendOrder
{
  EngineOrder mOrder;
  uint64_t mFencingNumber = 0;
};

/** Reports the outcome of an order, once. */
struct OrderEnded
{
  std::string mId;
  OrderOutcome mOutcome = OrderOutcome::NotSent;
};

using OrderAction = std::variant<LeaseRowAction, SendOrder, OrderEnded>;
using OrderActions = std::vector<OrderAction>;

/** Result of a SendOrder. */
enum class OrderReply
{
  Done,
  Refused,
  StaleFencingNumber, /**< the engine has seen a higher fencing number */
  NotSent,
  Unknown,
};

/**
 * Sends orders to one engine, one at a time, under the upstream's lease.
 *
 * An engine that checks fencing numbers protects itself from a holder that has
 * slept. For an engine that ignores them, an order is sent only while the lease
 * stays valid for mMaxOrderDuration, and a process that took the lease over
 * from a holder that did not release it waits that time before its first order.
 *
 * A load additionally needs one of the fleet's load slots, each a lease of its
 * own, so that the weight store is not overloaded. Single-threaded.
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

  /** Must be called with the current time right before sending. */
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
  uint64_t mLeaseCount =
    0; /**< created so far; each has a holder name of its own */
  std::string mLeaseKey;
  Lease mLease;
  /**
   * One per load slot; at most one is wanted. Each keeps watching its row, so
   * that a slot whose holder is gone is found free in time.
   */
  std::vector<Lease> mSlots;
  size_t mSlot = 0;
  Millis mSlotSince;
  std::deque<Entry> mOrders;
  bool mSending = false;
  Millis mSendAllowedAt;
  /** Until then an order without a reply may still be executing. */
  Millis mUncertainUntil;
  Millis mNextAttemptAt;
};

} // namespace trefoilarch
