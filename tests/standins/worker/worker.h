#pragma once

#include "workerengine.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace standin {

/**
 * An upstream of the platform. Runs each request by the plan in its header
 * `X-Test-Plan`, records what it ran, and writes raw HTTP/1.1 so that it can
 * send invalid responses. A plan is a name followed by `,key=value` options:
 *
 *   ok            200 with X-Response-Seal (delay, size)
 *   error         500 from the worker (delay)
 *   denied        403 from the worker, with a body without events
 *   unfinished    the same body as a success
 *   not_run       503 that says the request did not run
 *   cut_head      runs, then resets without a response (delay)
 *   cut_body      resets in the middle of the body
 *   garbage       bytes that are not an HTTP response
 *   unsealed      200 without X-Response-Seal
 *   extra         a second response after the first
 *   stray         the response to another request first
 *   no_length     a body delimited by the connection close (size, status)
 *   no_length_cut the same, but reset halfway
 *   gzip          a body in an unknown transfer coding
 *   hang          no response while the client is connected
 *   crash         the process exits (delay) after it printed
 *                 `crashed PATH AT_MS` on standard output
 *   crash_body    the same, in the middle of a body delimited by the
 *                 connection close
 *   early         responds before it has read the body
 *   unread        reads the head, but neither the body nor a further request;
 *                 closes the connection after some time (hold, ms)
 *   engine        events paced by the WorkerEngine: out (tokens, four in an
 *                 event); the prompt segments and the priority are read
 *                 from the request headers
 *   stream        events: count, gap (ms), pad (bytes added to each), cut
 *                 (ends after that many events), at (of the cut: `inside` the
 *                 next event, or `between` two), how (of the cut: `reset`,
 *                 `close` or `crash`), once=1 (a run that resumes after
 *                 Last-Event-Id is not cut), framing (`chunked`, `length`, or
 *                 `close` for a body delimited by the connection close),
 *                 resume_framing (the same, of a run that resumes)
 *
 * POST /control {"load_suffix":TEXT} adds that to the load report of all
 * further responses;
 * POST /control {"limit":TEXT} adds that rate limit to all further responses;
 * an empty TEXT removes it.
 *
 * POST /control {"leaving":TEXT} adds `Server-Leaving: TEXT` to all further
 * responses; an empty TEXT removes it.
 *
 * POST /control {"pause":TEXT} makes the worker refuse all further requests
 * with a 503 with `Retry-After: TEXT`; an empty TEXT ends that. Refusals are
 * recorded like runs, apart from them.
 *
 * POST /control {"plan":...} overrides the header's plan for the next `times`
 * requests.
 */
class Worker
{
public:
  Worker(std::string aId, const std::string& aEndpoint);

  std::string Endpoint() const;
  /** Starts a thread that accepts connections until the process ends. */
  void Start();

private:
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Plan = std::map<std::string, std::string>;

  void Serve(Tcp::socket aSocket);
  /** Returns false if the connection must be closed. */
  bool Answer(Tcp::socket& aSocket, const Request& aRequest);
  bool Control(Tcp::socket& aSocket, const Request& aRequest);
  /** Refuses the request without running it. */
  bool Refuse(Tcp::socket& aSocket, const Request& aRequest);
  /** The text of the pause that the worker asks for, or empty. */
  std::string PauseText() const;
  /** Whether the command set a header of all responses. */
  bool SetHeader(const nlohmann::json& aCommand);
  bool Run(Tcp::socket& aSocket, const Request& aRequest, const Plan& aPlan);
  bool Stream(Tcp::socket& aSocket,
              const Request& aRequest,
              const Plan& aPlan,
              size_t aRun);
  /** Ends the run's stream as the plan's cut says. */
  void CutStream(Tcp::socket& aSocket,
                 const Request& aRequest,
                 const Plan& aPlan,
                 size_t aRun);
  bool StreamFromEngine(Tcp::socket& aSocket,
                        const Request& aRequest,
                        const Plan& aPlan,
                        size_t aRun);
  Plan PlanFor(const Request& aRequest);
  size_t BeginRun(const Request& aRequest);
  void EndRun(size_t aRun, const char* aOutcome);
  std::string ResponseHead(const Request& aRequest,
                           int aStatus,
                           bool aSealed,
                           const std::string& aFraming) const;

  std::string mId;
  boost::asio::io_context mLoop;
  Tcp::acceptor mAcceptor;
  mutable std::mutex mMutex;
  nlohmann::json mRuns = nlohmann::json::array();
  std::string mPlanOverride;
  int mOverridesLeft = 0;
  std::string mRateLimit;
  std::string mLoadSuffix;
  std::string mLeaving;
  std::string mPause;
  nlohmann::json mRefusals = nlohmann::json::array();
  std::atomic<int> mRunning = 0;
  WorkerEngine mEngine;
};

} // namespace standin
