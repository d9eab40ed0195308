#include "callcounter.h"

#include "integration/childprocess.h"
#include "integration/rawcaller.h"

#include "libtrefoilgate/bootclock.h"
#include "libtrefoilgate/gateway.h"
#include "libtrefoilio/kernel.h"
#include "platformdialect.h"

#include <criterion/criterion.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

using namespace platformtest;
using namespace trefoilarch;
using namespace trefoilgate;

/** System calls and allocations of the gateway's event loop, in this
 * process. */
namespace {

constexpr const char* kListen = "127.0.0.1:0";
constexpr const char* kLastChunk = "0\r\n\r\n";
constexpr const char* kOk = "HTTP/1.1 200 OK";

std::shared_ptr<const RoutePolicy>
PublicPolicy()
{
  RoutePolicy policy{ .mVersion = 1 };
  policy.mRoutes = { { .mName = "r",
                       .mHost = "svc.example",
                       .mPathPrefix = "/",
                       .mStream = true,
                       .mTargets = { { .mService = "svc" } },
                       .mPublic = true } };
  policy.mServices["svc"] = { .mName = "svc", .mMaxConnections = 1000 };
  return std::make_shared<const RoutePolicy>(std::move(policy));
}

/** A gateway with one worker; its log is discarded. */
class LoopUnderTest
{
public:
  LoopUnderTest()
    : mWorker("trefoilarch-worker", { "i-0" })
  {
    dup2(open("/dev/null", O_WRONLY | O_CLOEXEC), STDOUT_FILENO);
    mGateway = std::make_unique<Gateway>(
      mLoop,
      GatewayOptions{ .mSettings = { .mName = "g",
                                     .mDataCentre = "here",
                                     .mListen = kListen,
                                     .mOperatorListen = kListen,
                                     .mKeyPolicyMaxAge = Millis(4500),
                                     .mStopTimeout = Millis(1000),
                                     .mMaxDescriptors = 4096,
                                     .mMaxBodyBytes = 1 << 24 },
                      .mDialect = trefoilplatform::PlatformDialect() });
    mGateway->SetPolicy(PublicPolicy());
    mGateway->ConfirmPolicy(BootNow());
    mGateway->ChangeDirectory([this](UpstreamDirectory& aAll) {
      aAll.Put({ .mId = "i-0",
                 .mService = "svc",
                 .mAddress = mWorker.Address("worker"),
                 .mDataCentre = "here",
                 .mSlots = 64 });
    });
    mGateway->Start(mKernel);
    mThread = std::thread([this] { mLoop.run(); });
  }

  ~LoopUnderTest()
  {
    mLoop.stop();
    mThread.join();
    mGateway->Stop();
  }

  LoopUnderTest(const LoopUnderTest&) = delete;
  LoopUnderTest& operator=(const LoopUnderTest&) = delete;

  std::string Address() const { return mGateway->CallersAddress(); }

  CallCounts Counts()
  {
    std::promise<CallCounts> counts;
    boost::asio::post(mLoop,
                      [&counts] { counts.set_value(ThreadCallCounts()); });
    return counts.get_future().get();
  }

private:
  integration::ChildProcess mWorker;
  boost::asio::io_context mLoop{ 1 };
  trefoilio::Kernel mKernel;
  std::unique_ptr<Gateway> mGateway;
  std::thread mThread;
};

std::string
RequestOf(const std::string& aId, const std::string& aPlan)
{
  return "POST /x HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\nX-Test-Plan: " +
         aPlan + "\r\n\r\n";
}

/** The difference of two counts, divided by the number of events or
 * requests. */
double
PerItem(uint64_t aBefore, uint64_t aAfter, int aCount)
{
  return static_cast<double>(aAfter - aBefore) / aCount;
}

} // namespace

/** Measured: 5.1 system calls and 6.6 allocations per event. */
Test(loopcost, an_event_costs_few_calls, .timeout = 30)
{
  LoopUnderTest loop;
  constexpr int kEvents = 400;
  const integration::RawCaller caller(loop.Address());
  caller.Send(RequestOf("warm", "stream,count=5,gap=2"));
  caller.ReadUntil(kLastChunk);
  const CallCounts before = loop.Counts();
  caller.Send(RequestOf("s", "stream,gap=3,count=" + std::to_string(kEvents)));
  const std::string answer = caller.ReadUntil(kLastChunk);
  cr_assert(answer.find("event 400\n") != std::string::npos);
  const CallCounts after = loop.Counts();
  const double calls =
    PerItem(before.mSystemCalls, after.mSystemCalls, kEvents);
  const double allocations =
    PerItem(before.mAllocations, after.mAllocations, kEvents);
  cr_expect(calls < 6, "%.2f system calls an event", calls);
  cr_expect(allocations < 8, "%.2f allocations an event", allocations);
}

/** Measured on kept-alive connections: 9.3 system calls and 220 allocations. */
Test(loopcost, a_request_costs_few_calls, .timeout = 30)
{
  LoopUnderTest loop;
  constexpr int kRequests = 100;
  const integration::RawCaller caller(loop.Address());
  caller.Send(RequestOf("warm", "ok"));
  caller.ReadUntil(std::string(100, 'b'));
  const CallCounts before = loop.Counts();
  for (int each = 0; each < kRequests; ++each) {
    caller.Send(RequestOf("r" + std::to_string(each), "ok"));
    cr_assert(caller.ReadUntil(std::string(100, 'b')).starts_with(kOk));
  }
  const CallCounts after = loop.Counts();
  const double calls =
    PerItem(before.mSystemCalls, after.mSystemCalls, kRequests);
  const double allocations =
    PerItem(before.mAllocations, after.mAllocations, kRequests);
  cr_expect(calls < 12, "%.2f system calls a request", calls);
  cr_expect(allocations < 270, "%.2f allocations a request", allocations);
}
