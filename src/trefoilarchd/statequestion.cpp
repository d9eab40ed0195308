#include "statequestion.h"

#include <chrono>
#include <utility>

namespace trefoilarch {

namespace {

constexpr std::chrono::seconds kMostWait{ 2 };

} // namespace

void
StateQuestion::Answer(std::string aState) const
{
  mPromise->set_value(std::move(aState));
}

std::string
StateQuestion::Await()
{
  auto answer = mPromise->get_future();
  if (answer.wait_for(kMostWait) != std::future_status::ready) {
    return BusyState();
  }
  return answer.get();
}

std::string
BusyState()
{
  return R"({"busy":true})";
}

} // namespace trefoilarch
