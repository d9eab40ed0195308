#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using integration::ConnectionEnd;
using integration::RawAnswer;
using integration::RawCaller;
using nlohmann::json;
using trefoilarch::Millis;
using trefoilio::MonotonicNow;

/** Requests that a gate has accepted are answered, whatever is changed, stopped
 * or lost around them. */
namespace {

constexpr int kCallers = 16;

/** A request may cross the close of its connection, which is seen at once; a
 * later close without an answer is a loss. */
constexpr Millis kMaxCrossing{ 200 };

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/** Complete answers at the beginning of the text. */
size_t
CountAnswers(const std::string& aText)
{
  constexpr std::string_view kLength = "Content-Length: ";
  size_t answers = 0;
  for (size_t at = 0; at < aText.size(); ++answers) {
    const size_t body = aText.find("\r\n\r\n", at);
    const size_t length = aText.find(kLength, at);
    if (body == std::string::npos || length > body) {
      break;
    }
    const size_t end =
      body + 4 + std::stoul(aText.substr(length + kLength.size()));
    if (end > aText.size()) {
      break;
    }
    at = end;
  }
  return answers;
}

/** Callers that use their connections until the gate closes them, and then
 * connect again until it is gone. */
class KeptCallers
{
public:
  KeptCallers(const PlatformFleet& aFleet, size_t aSentAhead)
    : mFleet(aFleet)
    , mSentAhead(aSentAhead)
  {
    for (int each = 0; each < kCallers; ++each) {
      mThreads.emplace_back([this, each] { Run(each); });
    }
  }

  /** Ends the callers. Expects no lost request and returns the number of
   * answers. */
  size_t Finish(const char* aWhat)
  {
    mStop = true;
    for (std::thread& each : mThreads) {
      each.join();
    }
    std::set<std::string> run;
    for (const json& each : mFleet.Runs(0)) {
      run.insert(each.at("id").get<std::string>());
    }
    for (const Unanswered& each : mUnanswered) {
      cr_expect(!run.contains(each.mId), "%s: %s ran", aWhat, each.mId.c_str());
      cr_expect(each.mAfter <= kMaxCrossing,
                "%s: %s ended after %ld ms",
                aWhat,
                each.mId.c_str(),
                static_cast<long>(each.mAfter.Count()));
    }
    return mAnswers;
  }

private:
  struct Unanswered
  {
    std::string mId;
    Millis mAfter;
  };

  void Run(int aCaller)
  {
    int number = 0;
    while (!mStop) {
      try {
        const RawCaller caller(mFleet.GateAddress(0));
        while (!mStop && SendSome(caller, aCaller, number)) {
        }
      } catch (const std::exception&) {
        return; // the gate is gone
      }
    }
  }

  /** Sends requests ahead of their answers; returns whether the connection is
   * still open. */
  bool SendSome(const RawCaller& aCaller, int aIndex, int& aNumber)
  {
    std::vector<std::string> ids;
    std::string text;
    for (size_t each = 0; each < mSentAhead; ++each) {
      ids.push_back("k" + std::to_string(aIndex) + "-" +
                    std::to_string(aNumber++));
      const bool unsafe = aNumber % 3 == 0;
      text += PlatformFleet::Text(
        { .mId = ids.back(),
          .mMethod = unsafe ? "POST" : "GET",
          .mPath = unsafe ? "/once/x" : "/safe/x",
          .mPlan = "ok,delay=" + std::to_string(aNumber * 7 % 60) });
    }
    const Millis sentAt = MonotonicNow();
    aCaller.Send(text);
    std::string received;
    ConnectionEnd end = ConnectionEnd::Open;
    size_t answered = 0;
    while (answered < mSentAhead && end == ConnectionEnd::Open &&
           MonotonicNow() - sentAt < Millis(6000)) {
      const RawAnswer part = aCaller.ReadAnswer("", 5);
      received += part.mText;
      end = part.mEnd;
      answered = CountAnswers(received);
    }
    const std::lock_guard lock(mMutex);
    mAnswers += answered;
    for (size_t each = answered; each < mSentAhead; ++each) {
      mUnanswered.push_back({ ids[each], MonotonicNow() - sentAt });
    }
    return end == ConnectionEnd::Open && answered == mSentAhead;
  }

  const PlatformFleet& mFleet;
  size_t mSentAhead;
  std::atomic<bool> mStop = false;
  std::mutex mMutex;
  size_t mAnswers = 0;
  std::vector<Unanswered> mUnanswered;
  std::vector<std::thread> mThreads;
};

/** Plays a trouble beside callers that send one request at a time, and beside
 * others that send three ahead. */
void
PlayBesideCallers(const char* aWhat,
                  const std::function<void(PlatformFleet&)>& aTrouble)
{
  for (const size_t sentAhead : { 1, 3 }) {
    PlatformFleet fleet;
    KeptCallers callers(fleet, sentAhead);
    Pause(400);
    aTrouble(fleet);
    constexpr size_t kMinAnswers = 100;
    const size_t answers = callers.Finish(aWhat);
    cr_log_info("%s, %zu at a time: %zu answers", aWhat, sentAhead, answers);
    cr_expect(answers >= kMinAnswers, "%s: %zu answers", aWhat, answers);
  }
}

void
AwaitEnd(PlatformFleet& aFleet)
{
  cr_expect(Await([&] { return aFleet.Gate(0).HasEnded(); }, Millis(10000)));
  cr_expect(aFleet.Gate(0).Status() == 0);
}

} // namespace

Test(acceptedrequests, a_planned_stop_loses_none, .timeout = 90)
{
  PlayBesideCallers("SIGTERM", [](PlatformFleet& aFleet) {
    aFleet.Gate(0).Signal(SIGTERM);
    AwaitEnd(aFleet);
  });
}

Test(acceptedrequests, reloads_and_policies_in_series_lose_none, .timeout = 90)
{
  PlayBesideCallers("SIGHUP and policies", [](PlatformFleet& aFleet) {
    for (uint64_t version = 2; version < 22; ++version) {
      aFleet.Gate(0).Signal(SIGHUP);
      json policy = PlatformFleet::MakePolicy(version, { "key-1" });
      policy["limits"]["idleTimeoutMs"] = 1000 + version;
      policy["routes"][0]["timeoutMs"] = 2000 + version;
      aFleet.PutPolicy(policy);
      Pause(60);
    }
  });
}

Test(acceptedrequests, a_store_that_is_away_loses_none, .timeout = 120)
{
  for (const char* fault : { "down", "silent", "reset", "busy", "lost" }) {
    PlayBesideCallers(fault, [fault](PlatformFleet& aFleet) {
      aFleet.Control({ { "fault", fault } });
      Pause(2500);
      aFleet.Control({ { "fault", "up" } });
      Pause(500);
    });
  }
}

/** Signals, policies and an outage in series, before and during a stop. */
Test(acceptedrequests,
     changes_that_overlap_a_planned_stop_lose_none,
     .timeout = 90)
{
  PlayBesideCallers("overlapping", [](PlatformFleet& aFleet) {
    aFleet.Gate(0).Signal(SIGHUP);
    aFleet.PutPolicy(PlatformFleet::MakePolicy(2, { "key-1", "key-3" }));
    aFleet.Control({ { "fault", "silent" } });
    Pause(300);
    aFleet.Gate(0).Signal(SIGTERM);
    aFleet.Gate(0).Signal(SIGHUP);
    Pause(200);
    aFleet.Control({ { "fault", "up" } });
    aFleet.PutPolicy(PlatformFleet::MakePolicy(3, { "key-1" }));
    aFleet.Gate(0).Signal(SIGTERM);
    aFleet.Gate(0).Signal(SIGHUP);
    AwaitEnd(aFleet);
  });
}
