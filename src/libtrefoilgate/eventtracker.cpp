#include "eventtracker.h"

#include <charconv>
#include <string_view>

namespace trefoilgate {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

/** The value of the event's `id` line, or empty. */
std::string_view
IdOf(std::string_view aEvent)
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
NumberOf(std::string_view aId)
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
  mRest += aData;
  std::string whole;
  size_t start = 0;
  size_t end = mRest.find(kEventEnd);
  while (end != std::string::npos) {
    end += kEventEnd.size();
    whole += TakeEvent(mRest.substr(start, end - start));
    start = end;
    end = mRest.find(kEventEnd, start);
  }
  mRest.erase(0, start);
  return whole;
}

void
EventTracker::BeginNextRun()
{
  mRest.clear();
  mJoining = true;
}

std::string
EventTracker::TakeEvent(const std::string& aEvent)
{
  const std::string_view id = IdOf(aEvent);
  const std::optional<uint64_t> number = NumberOf(id);
  if (mJoining && number && mLastNumber) {
    if (*number <= *mLastNumber) {
      return {};
    }
    mGap = mGap || *number > *mLastNumber + 1;
    mJoining = false;
  }
  if (!id.empty()) {
    mLastId = id;
    mLastNumber = number;
  }
  mEvents++;
  return aEvent;
}

} // namespace trefoilgate
