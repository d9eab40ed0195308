#pragma once

#include <future>
#include <memory>
#include <string>

namespace trefoilarch {

/**
 * Requests a decision thread's state: passes through its ring as an event,
 * while the requesting thread waits for the response.
 */
class StateQuery
{
public:
  /** Called on the decision thread; aState is JSON text. */
  void Answer(std::string aState) const;

  /** Returns the state, or BusyState() if the thread is busy. */
  std::string Await();

private:
  std::shared_ptr<std::promise<std::string>> mPromise =
    std::make_shared<std::promise<std::string>>();
};

/** The state reported for a thread that does not respond in time. */
std::string
BusyState();

} // namespace trefoilarch
