#pragma once

#include <future>
#include <memory>
#include <string>

namespace trefoilarch {

/**
 * Asks a decision thread for its state: goes through its ring as an event, is
 * answered there, and awaited by the one who asked.
 */
class StateQuestion
{
public:
  /** On the decision thread; aState is JSON text. */
  void Answer(std::string aState) const;

  /** The state, or an object that says that the thread is busy. */
  std::string Await();

private:
  std::shared_ptr<std::promise<std::string>> mPromise =
    std::make_shared<std::promise<std::string>>();
};

/** What is told of a thread that does not answer in time. */
std::string
BusyState();

} // namespace trefoilarch
