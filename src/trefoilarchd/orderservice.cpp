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

constexpr size_t kEventRing = 64;
constexpr size_t kWorkRing = 64;
constexpr size_t kMostRemembered = 256;
/** So that a closed ring is noticed where nothing else happens. */
constexpr Millis kLongestWait{ 500 };
constexpr std::string_view kOrdersPath = "/v1/orders";
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kInvalid = 422;

/** How each kind of order is called, here and at the engine. */
struct OrderForm
{
  const char* mName;
  const char* mPath;
  const char* mSubject;
};

constexpr std::array kForms = {
  OrderForm{ "load_model", "/v1/load_model", "model" },
  OrderForm{ "load_adapter", "/v1/load_lora_adapter", "lora_name" },
  OrderForm{ "unload_adapter", "/v1/unload_lora_adapter", "lora_name" },
  OrderForm{ "set_role", "/v1/role", "role" },
};

const OrderForm&
FormOf(OrderKind aKind)
{
  return kForms.at(static_cast<size_t>(aKind));
}

const char*
NameOf(OrderOutcome aEnd)
{
  constexpr std::array names = { "done", "failed", "not_sent", "unknown" };
  return names.at(static_cast<size_t>(aEnd));
}

/** Empty where the body is no order. */
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
    for (size_t place = 0; place < kForms.size(); ++place) {
      if (kind == kForms.at(place).mName && !order.mId.empty()) {
        order.mKind = static_cast<OrderKind>(place);
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

  OrderActions operator()(EngineOrder& aOne) const
  {
    return mService.mOrders.Submit(std::move(aOne), mNow);
  }
  OrderActions operator()(const LeaseRead& aOne) const
  {
    return mService.mOrders.OnLeaseRead(aOne.mKey, aOne.mFound, mNow);
  }
  OrderActions operator()(const LeaseStored& aOne) const
  {
    return mService.mOrders.OnLeaseWritten(
      aOne.mKey, aOne.mWritten.mOutcome, aOne.mWritten.mRevision, mNow);
  }
  OrderActions operator()(const OrderReply& aOne) const
  {
    return mService.mOrders.OnReply(aOne, mNow);
  }
};

struct OrderService::Performer
{
  OrderService& mService;

  void operator()(const LeaseRowAction& aOne) const
  {
    mService.mLeaseWork.TryPush(
      [&service = mService, aOne] { service.KeepLease(aOne); });
  }
  void operator()(const SendOrder& aOne) const
  {
    mService.mEngineWork.TryPush(
      [&service = mService, aOne] { service.CallEngine(aOne); });
  }
  void operator()(const OrderEnded& aOne) const
  {
    mService.Note(aOne.mId, NameOf(aOne.mOutcome));
    trefoilio::LogState(
      trefoilio::LogLevel::Info,
      "order_ended",
      { { "id", aOne.mId }, { "end", NameOf(aOne.mOutcome) } });
  }
};

OrderService::OrderService(OrderServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mStore(mOptions.mPlatform)
  , mOrders(mOptions.mOrders)
  , mEvents(kEventRing)
  , mLeaseWork(kWorkRing)
  , mEngineWork(kWorkRing)
{
}

OrderService::~OrderService()
{
  Stop();
}

void
OrderService::Start(trefoilio::Kernel& /*aKernel*/)
{
  mDecider = std::thread([this] { Decide(); });
  mLeaseKeeper = std::thread([this] { Run(mLeaseWork); });
  mCaller = std::thread([this] { Run(mEngineWork); });
}

void
OrderService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mLeaseWork.Close();
  mEngineWork.Close();
  for (std::thread* thread : { &mDecider, &mLeaseKeeper, &mCaller }) {
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
    { "standings", mStandings }
  }.dump();
}

bool
OrderService::Submit(EngineOrder aOrder)
{
  const std::string id = aOrder.mId;
  {
    std::lock_guard lock(mMutex);
    if (mStandings.contains(id)) {
      return false;
    }
  }
  Note(id, "waiting");
  if (!mEvents.TryPush(std::move(aOrder))) {
    Note(id, NameOf(OrderOutcome::NotSent));
    return false;
  }
  return true;
}

std::string
OrderService::Standing(const std::string& aId) const
{
  std::lock_guard lock(mMutex);
  const auto place = mStandings.find(aId);
  return place == mStandings.end() ? "" : place->second;
}

void
OrderService::Note(const std::string& aId, std::string aStanding)
{
  std::lock_guard lock(mMutex);
  if (!mStandings.contains(aId)) {
    mIds.push_back(aId);
  }
  mStandings[aId] = std::move(aStanding);
  if (mIds.size() > kMostRemembered) {
    mStandings.erase(mIds.front());
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
    const std::string standing = Standing(id);
    if (!standing.empty()) {
      return JsonReply(200, { { "id", id }, { "status", standing } });
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
      mEvents.PopFor(std::clamp(wait, Millis(1), kLongestWait));
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
OrderService::Run(trefoilio::BoundedRing<Work>& aRing) const
{
  while (!mStopping) {
    const std::optional<Work> work = aRing.PopFor(kLongestWait);
    if (work) {
      (*work)();
    }
  }
}

void
OrderService::KeepLease(const LeaseRowAction& aAction)
{
  const auto* write = std::get_if<WriteLease>(&aAction.mAction);
  if (write == nullptr) {
    mEvents.Push(LeaseRead{ aAction.mKey, mStore.Read(aAction.mKey) });
  } else {
    mEvents.Push(
      LeaseStored{ aAction.mKey, mStore.Write(aAction.mKey, *write) });
  }
}

/** The lease is looked at again right before the order goes out. */
void
OrderService::CallEngine(const SendOrder& aAction)
{
  bool may = false;
  {
    std::lock_guard lock(mMutex);
    may = mOrders.MaySend(trefoilio::MonotonicNow());
  }
  mEvents.Push(may ? Send(aAction) : OrderReply::NotSent);
}

OrderReply
OrderService::Send(const SendOrder& aAction) const
{
  const EngineOrder& order = aAction.mOrder;
  const OrderForm& form = FormOf(order.mKind);
  Json body = { { form.mSubject, order.mName } };
  if (order.mKind == OrderKind::LoadAdapter) {
    body["lora_path"] = order.mSource;
  }
  trefoilio::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = mOptions.mEngineUrl + form.mPath;
  request.mHeaders = { { "Content-Type", "application/json" },
                       { "X-Fencing-Number",
                         std::to_string(aAction.mFencingNumber) } };
  if (!mOptions.mEngineKey.empty()) {
    request.mHeaders.emplace_back("Authorization",
                                  "Bearer " + mOptions.mEngineKey);
  }
  request.mBody = body.dump();
  const auto reply =
    trefoilio::SendHttp(request, mOptions.mOrders.mMaxOrderDuration);
  if (!reply || reply->mStatus >= 500) {
    return OrderReply::Unknown;
  }
  if (reply->mStatus == kConflict) {
    return OrderReply::StaleFencingNumber;
  }
  return reply->mStatus < 300 ? OrderReply::Done : OrderReply::Refused;
}

} // namespace trefoilarch
