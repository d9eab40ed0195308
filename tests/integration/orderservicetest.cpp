#include "await.h"
#include "childprocess.h"
#include "httpcall.h"

#include "libtrefoilio/kernel.h"
#include "trefoilarchd/orderservice.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <vector>

using namespace integration;
using namespace trefoilarch;
using nlohmann::json;

namespace {

constexpr Millis kMaxOrderDuration{ 1500 };

/** The order service of one sidecar. */
class OrderingSidecar
{
public:
  OrderingSidecar(const std::string& aPlatformUrl,
                  const std::string& aEngineUrl,
                  const std::string& aHolder,
                  bool aEngineChecks,
                  Millis aOrderTimeout)
  {
    auto service = std::make_unique<OrderService>(
      OrderServiceOptions{ .mPlatform = std::make_shared<const PlatformClient>(
                             PlatformClientOptions{ .mUrl = aPlatformUrl }),
                           .mEngineUrl = aEngineUrl,
                           .mOrders = { .mUpstream = "engine-1",
                                        .mHolder = aHolder,
                                        .mEngineChecksFencing = aEngineChecks,
                                        .mMaxOrderDuration = kMaxOrderDuration,
                                        .mLeaseMargin = Millis(2000),
                                        .mOrderTimeout = aOrderTimeout,
                                        .mRetryInterval = Millis(200) } });
    mService = service.get();
    mKernel.Register(OrderService::kName, std::move(service));
    mKernel.StartAll();
  }
  ~OrderingSidecar() { mKernel.StopAll(); }

  int Post(const json& aOrder)
  {
    return mService->HandleOperator({ "POST", "/v1/orders", {}, aOrder.dump() })
      .mStatus;
  }
  bool AwaitStatus(const std::string& aId, const std::string& aStatus)
  {
    return Await([&] { return mService->StatusOf(aId) == aStatus; });
  }

private:
  trefoilio::Kernel mKernel;
  OrderService* mService = nullptr;
};

/** A platform stand-in, an engine and the sidecars that send it orders. */
struct OrderFixture
{
  explicit OrderFixture(bool aEngineChecks = true,
                        std::vector<std::string> aExtraFlags = {})
    : mEngine("trefoilarch-engine",
              Flags(aEngineChecks, std::move(aExtraFlags)))
    , mFencingChecked(aEngineChecks)
  {
  }

  static std::vector<std::string> Flags(bool aEngineChecks,
                                        std::vector<std::string> aFlags)
  {
    aFlags.insert(aFlags.end(),
                  { "--fencing", aEngineChecks ? "refuse" : "ignore" });
    return aFlags;
  }

  std::unique_ptr<OrderingSidecar> Sidecar(const std::string& aHolder,
                                           Millis aOrderTimeout = Millis(60000))
  {
    return std::make_unique<OrderingSidecar>(
      mUrl, mEngineUrl, aHolder, mFencingChecked, aOrderTimeout);
  }
  void SetTable(const char* aMode, double aProbability)
  {
    PostJson(mUrl + "/control",
             { { "table",
                 { { "mode", aMode },
                   { "probability", aProbability },
                   { "seed", 1 } } } });
  }
  uint64_t TableWrites() const
  {
    const json counts = GetJson(mUrl + "/control");
    return counts["table"]["writes"].get<uint64_t>();
  }
  bool Serves(const std::string& aModel) const
  {
    const json models = GetJson(mEngineUrl + "/v1/models");
    return models.dump().find("\"" + aModel + "\"") != std::string::npos;
  }

  ChildProcess mPlatform{ "trefoilarch-platform", {} };
  ChildProcess mEngine;
  bool mFencingChecked;
  std::string mUrl = "http://" + mPlatform.Address("platform");
  std::string mEngineUrl = "http://" + mEngine.Address("engine");
};

/** A sidecar daemon process beside the engine. */
class SidecarDaemon
{
public:
  SidecarDaemon(const OrderFixture& aFixture, const std::string& aName)
    : mProcess("trefoilarchd",
               { "--role",
                 "sidecar",
                 "--name",
                 aName,
                 "--upstream-name",
                 "engine-1",
                 "--upstream-url",
                 aFixture.mEngineUrl,
                 "--labels",
                 "model=base",
                 "--platform",
                 aFixture.mUrl,
                 "--engine-fencing",
                 aFixture.mFencingChecked ? "refuse" : "ignore",
                 "--longest-order-ms",
                 "1500" })
    , mUrl("http://" + mProcess.Address("operator") + "/v1/orders")
  {
  }

  ChildProcess& Child() { return mProcess; }
  void Post(const json& aOrder) { PostJson(mUrl, aOrder); }
  std::string StatusOf(const std::string& aId) const
  {
    return GetJson(mUrl + "/" + aId).value("status", "");
  }

private:
  ChildProcess mProcess;
  std::string mUrl;
};

json
LoadOrder(const std::string& aId, const std::string& aName)
{
  return { { "id", aId },
           { "kind", "load_adapter" },
           { "name", aName },
           { "source", "weights/" + aName } };
}

} // namespace

Test(orderservice, an_adapter_is_loaded_and_dropped)
{
  OrderFixture fixture;
  const auto sidecar = fixture.Sidecar("a");
  cr_assert(sidecar->Post(LoadOrder("1", "riga")) == 202);
  cr_assert(sidecar->Post(LoadOrder("1", "riga")) == 409);
  cr_assert(sidecar->Post({ { "id", "2" }, { "kind", "reboot" } }) == 422);
  cr_assert(sidecar->AwaitStatus("1", "done"));
  cr_assert(fixture.Serves("riga"));
  sidecar->Post(
    { { "id", "3" }, { "kind", "unload_adapter" }, { "name", "riga" } });
  cr_assert(sidecar->AwaitStatus("3", "done"));
  cr_assert(!fixture.Serves("riga"));
}

Test(orderservice, a_successor_orders_under_a_higher_number)
{
  for (const bool checks : { true, false }) {
    OrderFixture fixture(checks);
    auto first = fixture.Sidecar("a");
    first->Post(LoadOrder("1", "riga"));
    cr_assert(first->AwaitStatus("1", "done"));
    first.reset();
    const auto second = fixture.Sidecar("b");
    second->Post(LoadOrder("2", "tallinn"));
    cr_assert(second->AwaitStatus("2", "done"));
    cr_assert(fixture.Serves("tallinn"));
    const json orders = GetJson(fixture.mEngineUrl + "/orders")["orders"];
    cr_assert(orders.size() == 2);
    cr_assert(orders[0]["fencing"] < orders[1]["fencing"]);
  }
}

Test(orderservice, lost_table_responses_are_resolved)
{
  OrderFixture fixture;
  fixture.SetTable("lose_answers", 0.3);
  const auto sidecar = fixture.Sidecar("a");
  for (const char* id : { "1", "2", "3" }) {
    sidecar->Post(LoadOrder(id, id));
    cr_assert(sidecar->AwaitStatus(id, "done"));
  }
}

/** The engine takes twice the maximum order duration: no response in time. */
Test(orderservice, an_order_without_an_answer_ends_as_unknown)
{
  OrderFixture fixture(false, { "--order-ms", "3000" });
  const auto sidecar = fixture.Sidecar("a", Millis(4000));
  sidecar->Post(LoadOrder("1", "riga"));
  cr_assert(sidecar->AwaitStatus("1", "unknown"));
  cr_assert(Await([&] { return fixture.Serves("riga"); }));
}

/** The holder of the engine's lease is frozen while an order is running. */
Test(orderservice, a_frozen_holder_does_not_order_after_its_successor)
{
  OrderFixture fixture(false, { "--order-ms", "1000" });
  SidecarDaemon first(fixture, "a");
  first.Post(LoadOrder("1", "riga"));
  const auto fencingNumbers = [&fixture] {
    std::vector<uint64_t> numbers;
    const json engineOrders = GetJson(fixture.mEngineUrl + "/orders");
    for (const json& order : engineOrders["orders"]) {
      numbers.push_back(order["fencing"].get<uint64_t>());
    }
    return numbers;
  };
  cr_assert(Await([&] { return fixture.TableWrites() > 0; }));
  first.Child().Signal(SIGSTOP);
  SidecarDaemon second(fixture, "b");
  second.Post(LoadOrder("2", "tallinn"));
  cr_assert(
    Await([&] { return second.StatusOf("2") == "done"; }, Millis(60000)));
  first.Child().Signal(SIGCONT);
  first.Post(LoadOrder("3", "vilnius"));
  cr_assert(
    Await([&] { return first.StatusOf("3") == "done"; }, Millis(60000)));
  const auto numbers = fencingNumbers();
  cr_assert(numbers.size() >= 3);
  cr_assert(std::is_sorted(numbers.begin(), numbers.end()));
  cr_assert(numbers.front() < numbers[1] && numbers[1] < numbers.back());
}
