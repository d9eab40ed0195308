#pragma once

#include "dutytransport.h"

#include "libtrefoilarch/agreedtime.h"
#include "libtrefoilarch/usagecounter.h"
#include "libtrefoilarch/usagereporter.h"
#include "libtrefoilio/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace trefoilgate {

class Gateway;
class GateMetrics;

struct UsageServiceOptions
{
  std::string mName;
  /** Name of the duty in the store and in logs. */
  std::string mDuty;
  trefoilarch::Millis mWindow{ 5000 };
  trefoilarch::Millis mMaxLateness{ 10000 };
  trefoilarch::Millis mLeaseDuration{ 3000 };
  /** The body of a report. */
  std::function<std::string(uint64_t,
                            const trefoilarch::UsageCollector::Counts&)>
    mFormat;
  /** Unique to this process. */
  uint64_t mProcess = 1;
};

/**
 * Counts this entry's usage and sends it to the coordinators. At a coordinator
 * it also collects the usage of all entries, and reports it while it holds the
 * duty.
 */
class UsageService : public trefoilio::Service
{
public:
  UsageService(boost::asio::io_context& aLoop,
               UsageServiceOptions aOptions,
               DutyTransport aTransport);

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override { return State().dump(); }

private:
  using Millis = trefoilarch::Millis;

  trefoilarch::UsageReporterOptions ReporterOptions() const;
  void SetGatewayHooks();
  void Count(const std::string& aWorkspace);
  std::optional<trefoilarch::UsageReply> OnUpdate(
    const trefoilarch::UsageUpdate& aUpdate);
  void OnReply(const trefoilarch::UsageReply& aReply);
  void Tick();
  void SendCounts(Millis aNow);
  Millis SendInterval() const;
  void Perform(const trefoilarch::DutyActions& aActions);
  void Perform(const trefoilarch::DutyAction& aAction);
  void Call(const trefoilarch::CallReceiver& aCall);
  void LogEvent(const trefoilarch::DutyEvent& aEvent);
  void LogMissed(const trefoilarch::MissedWindows& aMissed);
  void SetGauges(GateMetrics& aMetrics) const;
  nlohmann::json State() const;

  boost::asio::io_context& mLoop;
  UsageServiceOptions mOptions;
  DutyTransport mTransport;
  Gateway* mGateway = nullptr;
  boost::asio::steady_timer mTimer;
  trefoilarch::UsageCounter mCounter;
  trefoilarch::UsageReporter mReporter;
  trefoilarch::AgreedTime mTime;
  Millis mSentAt;
};

} // namespace trefoilgate
