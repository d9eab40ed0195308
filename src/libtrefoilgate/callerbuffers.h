#pragma once

#include "libtrefoilarch/buffering/bufferbudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace trefoilgate {

class CallerConnection;

/** Why a caller was cut off. */
enum class CutReason : uint8_t
{
  Stalled,          /**< it read nothing for the stall time-out */
  BufferFull,       /**< the bytes held for all callers reached their bound */
  ConnectionMemory, /**< the memory of all connections reached its bound */
  ConnectionCount,  /**< another caller needed the connection */
};

/** "caller_stalled", "answer_buffer_full", "connection_memory" or
 * "connection_count". */
const char*
Name(CutReason aReason);

/** A caller that is about to be cut off. */
struct CutCaller
{
  CallerConnection& mCaller;
  CutReason mReason = CutReason::Stalled;
  /** Of its answer; all that the connection takes if that is the reason. */
  size_t mHeldBytes = 0;
  trefoilarch::Millis mStallTime;
};

/** Carries out the decisions of a BufferBudget at callers' connections. */
class CallerBuffers
{
public:
  CallerBuffers(boost::asio::io_context& aLoop,
                trefoilarch::BufferBudgetOptions aOptions,
                std::function<void(const CutCaller&)> aOnCut);

  /** Shared with the bodies on their way to upstreams. */
  const std::shared_ptr<trefoilarch::BufferBudget>& Budget() const
  {
    return mBudget;
  }
  /** An id for a connection or a body, unique in this process. */
  trefoilarch::StreamId NextId() { return ++mLastId; }

  /** Returns the connection's id. */
  trefoilarch::StreamId Add(CallerConnection& aCaller);
  void Remove(trefoilarch::StreamId aCaller);
  void OnHeld(trefoilarch::StreamId aCaller, uint8_t aTier, size_t aBytes);
  void OnDrained(trefoilarch::StreamId aCaller, size_t aBytes);
  /** Bytes of the caller's answer that are not written to its connection. */
  void SetUnoffered(trefoilarch::StreamId aCaller, size_t aBytes);
  /** Cuts off callers that have read nothing for the stall time-out. */
  void CutStalled(trefoilarch::Millis aNow);

private:
  /** Learns which callers have read bytes from the kernel's buffer. */
  void UpdateProgress(trefoilarch::Millis aNow);
  void ScheduleVictims();
  void CutVictims();
  void Cut(trefoilarch::StreamId aCaller,
           CutReason aReason,
           trefoilarch::Millis aNow);
  void ResumeReading();

  std::shared_ptr<trefoilarch::BufferBudget> mBudget;
  std::function<void(const CutCaller&)> mOnCut;
  boost::asio::steady_timer mTimer;
  std::unordered_map<trefoilarch::StreamId, CallerConnection*> mCallers;
  trefoilarch::StreamId mLastId = 0;
  bool mVictimsDue = false;
};

} // namespace trefoilgate
