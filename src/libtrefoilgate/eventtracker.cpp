#include "eventtracker.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace trefoilgate {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

/** The value of the event's `id` line, or empty. */
std::string_view
EventId(std::string_view aEvent)
{
  size_t start = 0;
  while (start < aEvent.size()) {
    const size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      while (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      while (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      return line;
    }
    start = end + 1;
  }
  return {};
}

std::optional<uint64_t>
ParseNumber(std::string_view aId)
{
  uint64_t number = 0;
  const char* end = aId.data() + aId.size();
  const auto parsed = std::from_chars(aId.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
EventTracker::Add(const std::string& aData)
{
  // The end of an event may be split between two pieces.
  const size_t searched =
    mRemainder.size() - std::min(mRemainder.size(), kEventEnd.size() - 1);
  mRemainder += aData;
  std::string complete;
  size_t start = 0;
  size_t end = mRemainder.find(kEventEnd, searched);
  while (end != std::string::npos) {
    end += kEventEnd.size();
    complete += ProcessEvent(mRemainder.substr(start, end - start));
    start = end;
    end = mRemainder.find(kEventEnd, start);
  }
  mRemainder.erase(0, start);
  return complete;
}

void
EventTracker::BeginNextRun()
{
  mRemainder.clear();
  mResuming = true;
}

std::string
EventTracker::ProcessEvent(const std::string& aEvent)
{
  const std::string_view id = EventId(aEvent);
  const std::optional<uint64_t> number = ParseNumber(id);
  if (mResuming && number && mLastNumber) {
    if (*number <= *mLastNumber) {
      return {};
    }
    mHasGap = mHasGap || *number > *mLastNumber + 1;
    mResuming = false;
  }
  if (!id.empty()) {
    mLastId = id;
    mLastNumber = number;
  }
  mEventCount++;
  return aEvent;
}

} // namespace trefoilgate
