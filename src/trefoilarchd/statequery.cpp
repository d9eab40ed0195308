#include "statequery.h"

#include <chrono>
#include <utility>

namespace trefoilarch {

namespace {

constexpr std::chrono::seconds kMaxWait{ 2 };

} // namespace

void
StateQuery::Answer(std::string aState) const
{
  mPromise->set_value(std::move(aState));
}

std::string
StateQuery::Await()
{
  auto answer = mPromise->get_future();
  if (answer.wait_for(kMaxWait) != std::future_status::ready) {
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
