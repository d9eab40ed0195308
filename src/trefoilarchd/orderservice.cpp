#include "orderservice.h"

#include "libtrefoilio/httpclient.h"
#include "libtrefoilio/logs.h"
#include "libtrefoilio/systemclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace trefoilarch {

namespace {

using Json = nlohmann::json;

constexpr size_t kEventRingCapacity = 64;
constexpr size_t kWorkRingCapacity = 64;
constexpr size_t kMaxRemembered = 256;
/** Of an engine's reply to an order, of which only the status counts. */
constexpr size_t kMaxOrderReplyBytes = 65536;
/** Limits how long an idle thread takes to notice a closed ring. */
constexpr Millis kMaxWait{ 500 };
constexpr std::string_view kOrdersPath = "/v1/orders";
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kInvalid = 422;

/** The name of an order kind, and the engine's API call for it. */
struct EngineCall
{
  const char* mName;
  const char* mPath;
  const char* mNameField;
};

constexpr std::array kEngineCalls = {
  EngineCall{ "load_model", "/v1/load_model", "model" },
  EngineCall{ "load_adapter", "/v1/load_lora_adapter", "lora_name" },
  EngineCall{ "unload_adapter", "/v1/unload_lora_adapter", "lora_name" },
  EngineCall{ "set_role", "/v1/role", "role" },
};

const EngineCall&
EngineCallFor(OrderKind aKind)
{
  return kEngineCalls.at(static_cast<size_t>(aKind));
}

const char*
NameOf(OrderOutcome aOutcome)
{
  constexpr std::array names = { "done", "failed", "not_sent", "unknown" };
  return names.at(static_cast<size_t>(aOutcome));
}

/** Returns nullopt if the body is not a valid order. */
std::optional<EngineOrder>
ReadOrder(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  try {
    EngineOrder order;
    order.mId = json.at("id").get<std::string>();
    order.mName = json.at("name").get<std::string>();
    order.mSource = json.value("source", "");
    const auto kind = json.at("kind").get<std::string>();
    for (size_t index = 0; index < kEngineCalls.size(); ++index) {
      if (kind == kEngineCalls.at(index).mName && !order.mId.empty()) {
        order.mKind = static_cast<OrderKind>(index);
        return order;
      }
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

trefoilio::HttpReply
JsonReply(int aStatus, const Json& aBody)
{
  trefoilio::HttpReply reply;
  reply.mStatus = aStatus;
  reply.mHeaders = { { "Content-Type", "application/json" } };
  reply.mBody = aBody.dump();
  return reply;
}

trefoilio::HttpReply
ErrorReply(int aStatus, const char* aMessage)
{
  return JsonReply(aStatus, { { "error", { { "message", aMessage } } } });
}

} // namespace

struct OrderService::Decider
{
  OrderService& mService;
  Millis mNow;

  OrderActions operator()(EngineOrder& aEvent) const
  {
    return mService.mOrders.Submit(std::move(aEvent), mNow);
  }
  OrderActions operator()(const LeaseRead& aEvent) const
  {
    return mService.mOrders.OnLeaseRead(aEvent.mKey, aEvent.mFound, mNow);
  }
  OrderActions operator()(const LeaseStored& aEvent) const
  {
    return mService.mOrders.OnLeaseWritten(
      aEvent.mKey, aEvent.mResult.mOutcome, aEvent.mResult.mRevision, mNow);
  }
  OrderActions operator()(const OrderReply& aEvent) const
  {
    return mService.mOrders.OnReply(aEvent, mNow);
  }
};

struct OrderService::Performer
{
  OrderService& mService;

  void operator()(const LeaseRowAction& aAction) const
  {
    mService.mLeaseWork.TryPush(
      [&service = mService, aAction] { service.PerformLeaseAction(aAction); });
  }
  void operator()(const SendOrder& aAction) const
  {
    mService.mEngineWork.TryPush(
      [&service = mService, aAction] { service.CallEngine(aAction); });
  }
  void operator()(const OrderEnded& aAction) const
  {
    mService.RecordStatus(aAction.mId, NameOf(aAction.mOutcome));
    trefoilio::LogState(
      trefoilio::LogLevel::Info,
      "order_ended",
      { { "id", aAction.mId }, { "end", NameOf(aAction.mOutcome) } });
  }
};

OrderService::OrderService(OrderServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mStore(mOptions.mPlatform)
  , mOrders(mOptions.mOrders)
  , mEvents(kEventRingCapacity)
  , mLeaseWork(kWorkRingCapacity)
  , mEngineWork(kWorkRingCapacity)
{
}

OrderService::~OrderService()
{
  Stop();
}

void
OrderService::Start(trefoilio::Kernel& /*aKernel*/)
{
  mDecisionThread = std::thread([this] { Decide(); });
  mLeaseThread = std::thread([this] { RunWorker(mLeaseWork); });
  mEngineThread = std::thread([this] { RunWorker(mEngineWork); });
}

void
OrderService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mLeaseWork.Close();
  mEngineWork.Close();
  for (std::thread* thread :
       { &mDecisionThread, &mLeaseThread, &mEngineThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

std::string
OrderService::DumpState() const
{
  std::lock_guard lock(mMutex);
  return Json{
    { "waiting", mOrders.Waiting() },
    { "fencing_number", mOrders.FencingNumber() },
    { "standings", mStatuses }
  }.dump();
}

bool
OrderService::Submit(EngineOrder aOrder)
{
  const std::string id = aOrder.mId;
  {
    std::lock_guard lock(mMutex);
    if (mStatuses.contains(id)) {
      return false;
    }
  }
  RecordStatus(id, "waiting");
  if (!mEvents.TryPush(std::move(aOrder))) {
    RecordStatus(id, NameOf(OrderOutcome::NotSent));
    return false;
  }
  return true;
}

std::string
OrderService::StatusOf(const std::string& aId) const
{
  std::lock_guard lock(mMutex);
  const auto found = mStatuses.find(aId);
  return found == mStatuses.end() ? "" : found->second;
}

void
OrderService::RecordStatus(const std::string& aId, std::string aStatus)
{
  std::lock_guard lock(mMutex);
  if (!mStatuses.contains(aId)) {
    mIds.push_back(aId);
  }
  mStatuses[aId] = std::move(aStatus);
  if (mIds.size() > kMaxRemembered) {
    mStatuses.erase(mIds.front());
    mIds.pop_front();
  }
}

trefoilio::HttpReply
OrderService::HandleOperator(const trefoilio::HttpRequest& aRequest)
{
  const std::string_view path = aRequest.mTarget;
  if (aRequest.mMethod == "POST" && path == kOrdersPath) {
    std::optional<EngineOrder> order = ReadOrder(aRequest.mBody);
    if (!order) {
      return ErrorReply(kInvalid,
                        "an order has id, kind (load_model, load_adapter, "
                        "unload_adapter, set_role), name and perhaps source");
    }
    const std::string id = order->mId;
    if (!Submit(std::move(*order))) {
      return ErrorReply(kConflict, "the id was used, or too many wait");
    }
    return JsonReply(kAccepted, { { "id", id }, { "status", "waiting" } });
  }
  if (aRequest.mMethod == "GET" && path.size() > kOrdersPath.size() + 1) {
    const std::string id(path.substr(kOrdersPath.size() + 1));
    const std::string status = StatusOf(id);
    if (!status.empty()) {
      return JsonReply(200, { { "id", id }, { "status", status } });
    }
  }
  return ErrorReply(kNotFound, "there is no such order");
}

void
OrderService::Decide()
{
  while (!mStopping) {
    Millis wait;
    {
      std::lock_guard lock(mMutex);
      wait = mOrders.NextWake() - trefoilio::MonotonicNow();
    }
    std::optional<Event> event =
      mEvents.PopFor(std::clamp(wait, Millis(1), kMaxWait));
    OrderActions actions;
    {
      std::lock_guard lock(mMutex);
      const Millis now = trefoilio::MonotonicNow();
      actions =
        event ? std::visit(Decider{ *this, now }, *event) : mOrders.OnTick(now);
    }
    for (const OrderAction& action : actions) {
      std::visit(Performer{ *this }, action);
    }
  }
}

void
OrderService::RunWorker(trefoilio::BoundedRing<Work>& aRing) const
{
  while (!mStopping) {
    const std::optional<Work> work = aRing.PopFor(kMaxWait);
    if (work) {
      (*work)();
    }
  }
}

void
OrderService::PerformLeaseAction(const LeaseRowAction& aAction)
{
  const auto* write = std::get_if<WriteLease>(&aAction.mAction);
  if (write == nullptr) {
    mEvents.Push(LeaseRead{ aAction.mKey, mStore.Read(aAction.mKey) });
  } else {
    mEvents.Push(
      LeaseStored{ aAction.mKey, mStore.Write(aAction.mKey, *write) });
  }
}

/** Checks the lease again right before sending the order. */
void
OrderService::CallEngine(const SendOrder& aAction)
{
  bool allowed = false;
  {
    std::lock_guard lock(mMutex);
    allowed = mOrders.MaySend(trefoilio::MonotonicNow());
  }
  mEvents.Push(allowed ? Send(aAction) : OrderReply::NotSent);
}

OrderReply
OrderService::Send(const SendOrder& aAction) const
{
  const EngineOrder& order = aAction.mOrder;
  const EngineCall& engineCall = EngineCallFor(order.mKind);
  Json body = { { engineCall.mNameField, order.mName } };
  if (order.mKind == OrderKind::LoadAdapter) {
    body["lora_path"] = order.mSource;
  }
  trefoilio::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = mOptions.mEngineUrl + engineCall.mPath;
  request.mHeaders = { { "Content-Type", "application/json" },
                       { "X-Fencing-Number",
                         std::to_string(aAction.mFencingNumber) } };
  if (!mOptions.mEngineKey.empty()) {
    request.mHeaders.emplace_back("Authorization",
                                  "Bearer " + mOptions.mEngineKey);
  }
  request.mBody = body.dump();
  const auto reply = trefoilio::SendHttp(
    request, mOptions.mOrders.mMaxOrderDuration, kMaxOrderReplyBytes);
  if (!reply || reply->mStatus >= 500) {
    return OrderReply::Unknown;
  }
  if (reply->mStatus == kConflict) {
    return OrderReply::StaleFencingNumber;
  }
  return reply->mStatus < 300 ? OrderReply::Done : OrderReply::Refused;
}

} // namespace trefoilarch
