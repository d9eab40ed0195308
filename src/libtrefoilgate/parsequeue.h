#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>

namespace trefoilgate {

class CallerConnection;

/** A connection's place in a ParseQueue. */
using ParseTurnId = uint64_t;

/**
 * Connections whose heads take long to parse, in the order in which they came.
 * One of them is parsed in each round of the event loop, so that other callers
 * are served in between.
 */
class ParseQueue
{
public:
  explicit ParseQueue(boost::asio::io_context& aLoop);

  /** CallerConnection::OnParseTurn() is called when the connection is next. */
  ParseTurnId Await(CallerConnection& aCaller);
  /** To be called before a connection that waits is destroyed. */
  void Cancel(ParseTurnId aTurn) { mWaiting.erase(aTurn); }

private:
  void Schedule();
  void ParseNext();

  boost::asio::io_context& mLoop;
  std::map<ParseTurnId, CallerConnection*> mWaiting;
  ParseTurnId mLastId = 0;
  bool mScheduled = false;
};

} // namespace trefoilgate
