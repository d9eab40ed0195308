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
 * Sends operators' orders to this sidecar's engine, as vLLM's documented API
 * calls with the header `X-Fencing-Number`. One thread runs the decision
 * logic (Orders), one reads and writes the leases and one calls the engine.
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

  /** Returns false if the queue is full or the id was used before. */
  bool Submit(EngineOrder aOrder);
  /** Returns "waiting", "done", "failed", "not_sent", "unknown", or "". */
  std::string StatusOf(const std::string& aId) const;

  /** Handles POST /v1/orders and GET /v1/orders/{id}. */
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
    LeaseWriteResult mResult;
  };
  using Event = std::variant<EngineOrder, LeaseRead, LeaseStored, OrderReply>;
  using Work = std::function<void()>;
  struct Decider;
  struct Performer;

  void Decide();
  void RunWorker(trefoilio::BoundedRing<Work>& aRing) const;
  void PerformLeaseAction(const LeaseRowAction& aAction);
  void CallEngine(const SendOrder& aAction);
  OrderReply Send(const SendOrder& aAction) const;
  void RecordStatus(const std::string& aId, std::string aStatus);

  OrderServiceOptions mOptions;
  LeaseStore mStore;
  mutable std::mutex mMutex;
  Orders mOrders; /**< guarded by mMutex, as are the next two */
  std::map<std::string, std::string> mStatuses;
  std::deque<std::string> mIds; /**< oldest first */
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<Work> mLeaseWork;
  trefoilio::BoundedRing<Work> mEngineWork;
  std::thread mDecisionThread;
  std::thread mLeaseThread;
  std::thread mEngineThread;
};

} // namespace trefoilarch
