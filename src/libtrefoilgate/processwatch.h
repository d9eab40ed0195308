#pragma once

#include "connectionpool.h"

#include "libtrefoilarch/placedattempt.h"
#include "libtrefoilarch/processcontinuity.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilgate {

/**
 * Follows the processes whose answers end with their connections, by
 * connections to their addresses at intervals that no restart fits in. One
 * connection serves all answers of an upstream.
 */
class ProcessWatch
{
public:
  using Continuity = std::shared_ptr<trefoilarch::ProcessContinuity>;

  ProcessWatch(boost::asio::io_context& aLoop, ConnectionPool& aPool);

  /** Follows the attempt's process until the result is released. It accepted
   * the request's connection, so it was running when the request was sent. */
  Continuity Follow(const trefoilarch::PlacedAttempt& aAttempt,
                    trefoilarch::Millis aSentAt);
  /** Connects at once. */
  void Check(const trefoilarch::PlacedAttempt& aAttempt);

  /** An answer of this service has no stated end. */
  void OnUnmarkedAnswer(const std::string& aService, trefoilarch::Millis aNow)
  {
    mUnmarked[aService] = aNow;
  }
  /** Whether the service has sent such answers recently. Its requests are
   * followed from the start, as their answers may begin late. */
  bool ExpectsUnmarked(const std::string& aService,
                       trefoilarch::Millis aNow) const;

private:
  struct Process
  {
    Process(boost::asio::io_context& aLoop,
            trefoilarch::UpstreamId aUpstream,
            std::string aAddress)
      : mUpstream(std::move(aUpstream))
      , mAddress(std::move(aAddress))
      , mTimer(aLoop)
    {
    }

    trefoilarch::UpstreamId mUpstream;
    std::string mAddress;
    std::vector<std::weak_ptr<trefoilarch::ProcessContinuity>> mFollowers;
    boost::asio::steady_timer mTimer;
  };

  void ScheduleProbe(const std::shared_ptr<Process>& aProcess);
  void Probe(const std::shared_ptr<Process>& aProcess);
  void OnProbed(Process& aProcess, const ProbeResult& aResult);

  boost::asio::io_context& mLoop;
  ConnectionPool& mPool;
  /** By address. */
  std::map<std::string, std::shared_ptr<Process>> mProcesses;
  /** When a service last sent an answer without a stated end. */
  std::map<std::string, trefoilarch::Millis> mUnmarked;
};

} // namespace trefoilgate
