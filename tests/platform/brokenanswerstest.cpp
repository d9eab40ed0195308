#include "platformfleet.h"

#include "integration/await.h"
#include "integration/brokenanswers.h"
#include "integration/rawcaller.h"
#include "integration/rawupstream.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>

using namespace platformtest;
using integration::Await;
using integration::BrokenAnswer;
using integration::RawUpstream;
using Socket = RawUpstream::Tcp::socket;

namespace {

constexpr int kDeadlineMs = 3000;
/** An answer that can't be read is given up at once. */
constexpr int64_t kMaxMs = 1000;

/** Sends one broken answer at a time, and keeps the connection open. */
class BrokenUpstream
{
public:
  BrokenUpstream()
    : mUpstream([this](Socket& aSocket) {
      RawUpstream::Write(aSocket, mAnswers[mNext].mBytes);
      char byte = 0;
      boost::system::error_code ignored;
      aSocket.read_some(boost::asio::buffer(&byte, 1), ignored);
    })
  {
  }

  const RawUpstream& Upstream() const { return mUpstream; }
  const std::vector<BrokenAnswer>& Answers() const { return mAnswers; }
  void SetNext(size_t aNext) { mNext = aNext; }

private:
  const std::vector<BrokenAnswer> mAnswers =
    integration::BrokenAnswers("X-Response-Seal: s\r\n");
  std::atomic<size_t> mNext = 0;
  RawUpstream mUpstream;
};

} // namespace

// Status 600 and above was passed on, and one below 100 left callers waiting
// until their deadlines.
Test(brokenanswers, none_reaches_a_caller, .timeout = 120)
{
  const PlatformFleet fleet({ .mRetrySlack = 1000 });
  BrokenUpstream broken;
  fleet.Unlist("i-0");
  const size_t listed = fleet.LogOf(0, "upstream_listed").size();
  fleet.ListAs("broken", broken.Upstream().Address());
  cr_assert(Await([&] {
    return !fleet.LogOf(0, "upstream_unlisted").empty() &&
           fleet.LogOf(0, "upstream_listed").size() > listed;
  }));
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    for (const char* path : { "/once/x", "/safe/x", "/stream/x" }) {
      const int64_t sentAt = trefoilio::MonotonicNow().Count();
      const auto reply = fleet.Call({ .mId = std::to_string(each) + path,
                                      .mMethod = "POST",
                                      .mPath = path,
                                      .mDeadlineMs = kDeadlineMs });
      const int64_t elapsed = trefoilio::MonotonicNow().Count() - sentAt;
      const std::string name = broken.Answers()[each].mName + " on " + path;
      cr_expect(reply.mStatus == 502, "%s: %d", name.c_str(), reply.mStatus);
      cr_expect(elapsed < kMaxMs, "%s: %ld ms", name.c_str(), elapsed);
    }
  }
}
