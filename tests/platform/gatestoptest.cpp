#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"
#include "integration/rawupstream.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using integration::RawAnswer;
using integration::RawCaller;
using integration::RawUpstream;
using nlohmann::json;

/** A planned stop begins nothing that it would cut off. */
namespace {

constexpr int kStopSeconds = 6;
constexpr int kDeadlineMs = 9000;
/** Streams of three seconds. */
constexpr const char* kLongStream = "stream,count=30,gap=100";
constexpr const char* kLastChunk = "0\r\n\r\n";

void
Sleep(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/** Routes allow requests that last longer than a stop. */
void
PutLongPolicy(PlatformFleet& aFleet)
{
  json policy = PlatformFleet::MakePolicy(2, { "key-1" });
  for (json& route : policy["routes"]) {
    route["timeoutMs"] = kDeadlineMs;
  }
  aFleet.PutPolicy(policy);
  cr_assert(Await([&] {
    const auto taken = aFleet.LogOf(0, "policy_taken");
    return !taken.empty() && taken.back().at("version") == 2;
  }));
}

std::unique_ptr<RawCaller>
Send(const PlatformFleet& aFleet,
     const std::string& aId,
     const std::string& aPath,
     const std::string& aPlan)
{
  auto caller = std::make_unique<RawCaller>(aFleet.GateAddress(0));
  caller->Send(PlatformFleet::Text({ .mId = aId,
                                     .mMethod = "POST",
                                     .mPath = aPath,
                                     .mPlan = aPlan,
                                     .mDeadlineMs = kDeadlineMs }));
  return caller;
}

} // namespace

// Streams that were sent late in a stop were cut off at its end.
Test(gatestop, no_stream_begins_that_would_be_cut_off, .timeout = 60)
{
  PlatformFleet fleet({ .mStopSeconds = kStopSeconds });
  PutLongPolicy(fleet);
  constexpr int kBefore = 4;
  std::vector<std::unique_ptr<RawCaller>> before;
  before.reserve(kBefore);
  for (int each = 0; each < kBefore; ++each) {
    before.push_back(
      Send(fleet, "before-" + std::to_string(each), "/stream/x", kLongStream));
  }
  for (const auto& caller : before) {
    cr_assert(caller->ReadAnswer(kLastChunk, 5000).mText.ends_with(kLastChunk));
  }
  fleet.Gate(0).Signal(SIGTERM);
  std::vector<std::unique_ptr<RawCaller>> late;
  std::vector<std::unique_ptr<RawCaller>> shortOnes;
  Sleep(2000);
  for (int each = 0; each < 8; ++each) {
    const std::string number = std::to_string(each);
    late.push_back(Send(fleet, "late-" + number, "/stream/x", kLongStream));
    shortOnes.push_back(Send(fleet, "short-" + number, "/safe/x", "ok"));
    Sleep(100);
  }
  for (size_t each = 0; each < late.size(); ++each) {
    const RawAnswer answer = late[each]->ReadAnswer(kLastChunk, 8000);
    const bool refused = answer.mText.starts_with("HTTP/1.1 503");
    cr_expect(refused || answer.mText.ends_with(kLastChunk),
              "%zu: %s",
              each,
              answer.mText.c_str());
    cr_expect(!refused ||
              answer.mText.find("Retry-After: ") != std::string::npos);
    const auto runs = fleet.RunsOf("late-" + std::to_string(each));
    cr_expect(!refused || runs.empty(), "%zu ran", each);
    const std::string other = shortOnes[each]->ReadAnswer("bbbb", 3000).mText;
    cr_expect(other.starts_with("HTTP/1.1 200"), "%s", other.c_str());
  }
}

// A retry that begins late in a stop is an attempt like any other.
Test(gatestop, no_retry_begins_that_would_be_cut_off, .timeout = 60)
{
  constexpr size_t kRetried = 4;
  PlatformFleet fleet({ .mStopSeconds = kStopSeconds });
  PutLongPolicy(fleet);
  const auto before = Send(fleet, "before", "/resume/x", kLongStream);
  cr_assert(before->ReadAnswer(kLastChunk, 5000).mText.ends_with(kLastChunk));
  const RawUpstream failing([](RawUpstream::Tcp::socket& aSocket) {
    Sleep(2000);
    RawUpstream::Reset(aSocket);
  });
  fleet.Unlist("i-0");
  fleet.ListAs("failing", failing.Address());
  cr_assert(Await([&] {
    return !fleet.LogOf(0, "upstream_unlisted").empty() &&
           fleet.LogOf(0, "upstream_listed").size() >= 2;
  }));
  fleet.Gate(0).Signal(SIGTERM);
  Sleep(800);
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kRetried);
  for (size_t each = 0; each < kRetried; ++each) {
    callers.push_back(
      Send(fleet, "retry-" + std::to_string(each), "/resume/x", kLongStream));
  }
  cr_assert(Await([&] { return failing.Requests() == kRetried; }));
  fleet.List(0);
  for (size_t each = 0; each < kRetried; ++each) {
    const std::string text = callers[each]->ReadAnswer("}", 4000).mText;
    cr_expect(text.starts_with("HTTP/1.1 502"), "%s", text.c_str());
    cr_expect(fleet.RunsOf("retry-" + std::to_string(each)).empty());
  }
}
