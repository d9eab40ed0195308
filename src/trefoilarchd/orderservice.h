#pragma once

#include "leasestore.h"

#include "libtrefoilarch/orders.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/httpmessage.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace trefoilarch {

struct OrderServiceOptions
{
  std::shared_ptr<const PlatformClient> mPlatform;
  std::string mEngineUrl; /**< http://ADDRESS:PORT */
  std::string mEngineKey; /**< bearer token for the engine, or empty */
  OrderOptions mOrders;
};

/**
 * Gives operators' orders to the engine beside this sidecar, in the form of
 * vLLM's published calls with the header `X-Fencing-Number`. One thread
 * decides (Orders), one keeps the leases and one calls the engine.
 */
class OrderService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "orders";

  explicit OrderService(OrderServiceOptions aOptions);
  ~OrderService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** False where too many wait, or the id was used before. */
  bool Submit(EngineOrder aOrder);
  /** "waiting", "done", "failed", "not_sent", "unknown", or empty. */
  std::string Standing(const std::string& aId) const;

  /** Answers POST /v1/orders and GET /v1/orders/{id}. */
  trefoilio::HttpReply HandleOperator(const trefoilio::HttpRequest& aRequest);

private:
  struct LeaseRead
  {
    std::string mKey;
    LeaseFound mFound;
  };
  struct LeaseStored
  {
    std::string mKey;
    LeaseWritten mWritten;
  };
  using Event = std::variant<EngineOrder, LeaseRead, LeaseStored, OrderReply>;
  using Work = std::function<void()>;
  struct Decider;
  struct Performer;

  void Decide();
  void Run(trefoilio::BoundedRing<Work>& aRing) const;
  void KeepLease(const LeaseRowAction& aAction);
  void CallEngine(const SendOrder& aAction);
  OrderReply Send(const SendOrder& aAction) const;
  void Note(const std::string& aId, std::string aStanding);

  OrderServiceOptions mOptions;
  LeaseStore mStore;
  mutable std::mutex mMutex;
  Orders mOrders; /**< under mMutex, as what follows */
  std::map<std::string, std::string> mStandings;
  std::deque<std::string> mIds; /**< oldest first */
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<Work> mLeaseWork;
  trefoilio::BoundedRing<Work> mEngineWork;
  std::thread mDecider;
  std::thread mLeaseKeeper;
  std::thread mCaller;
};

} // namespace trefoilarch
