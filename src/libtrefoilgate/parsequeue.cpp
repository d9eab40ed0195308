#include "parsequeue.h"

#include "callerconnection.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace trefoilgate {

ParseQueue::ParseQueue(boost::asio::io_context& aLoop)
  : mLoop(aLoop)
{
}

ParseTurnId
ParseQueue::Await(CallerConnection& aCaller)
{
  mWaiting[++mLastId] = &aCaller;
  Schedule();
  return mLastId;
}

void
ParseQueue::Schedule()
{
  if (mWaiting.empty() || std::exchange(mScheduled, true)) {
    return;
  }
  // The loop polls its sockets before it runs what was posted after that.
  boost::asio::post(mLoop, [this] {
    mScheduled = false;
    ParseNext();
    Schedule();
  });
}

void
ParseQueue::ParseNext()
{
  if (mWaiting.empty()) {
    return;
  }
  const auto first = mWaiting.begin();
  CallerConnection& next = *first->second;
  mWaiting.erase(first);
  next.OnParseTurn();
}

} // namespace trefoilgate
