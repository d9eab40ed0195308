#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilio/boundedring.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace trefoilgate {

/** Kinds of log lines, each with its own rate limit. */
enum class LineKind : uint8_t
{
  Process,     /**< start, stop, reload, a dependency lost or regained */
  StateChange, /**< the known policy, upstreams or peers have changed */
  Failure,     /**< a refusal, retry, cancellation or unknown outcome */
  Success,     /**< a served request; these are dropped first */
};

/** Limits of a DecisionLog. */
struct DecisionLogOptions
{
  std::string mProcess;
  /** Maximum number of lines waiting to be written; further lines are dropped
   * and counted. */
  size_t mRingCapacity = 4096;
  /** Lines per second of successes, and of each other kind. */
  uint32_t mSuccessesPerSecond = 50;
  uint32_t mOthersPerSecond = 400;
};

/**
 * Writes one JSON object per line to standard output, from its own thread. The
 * event loop never waits for a reader: dropped lines are counted, and the count
 * is written with the next line that fits.
 */
class DecisionLog
{
public:
  explicit DecisionLog(DecisionLogOptions aOptions);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /** Adds `t_ms`, `process` and `event` to the fields, which must not be empty;
   * aEvent is written unescaped. */
  void Write(LineKind aKind,
             const char* aEvent,
             const nlohmann::ordered_json& aFields);

  uint64_t LeftOut() const { return mLeftOut; }

private:
  struct Budget
  {
    trefoilarch::Millis mSecondStart;
    uint32_t mLines = 0;
    uint64_t mLeftOut = 0;
  };

  bool IsWithinBudget(LineKind aKind, trefoilarch::Millis aNow);
  void Run();

  DecisionLogOptions mOptions;
  /** The `process` field of every line, already serialised. */
  std::string mProcess;
  std::map<LineKind, Budget> mBudgets;
  trefoilio::BoundedRing<std::string> mRing;
  uint64_t mLeftOut = 0;
  uint64_t mUnreported = 0;
  std::thread mWriter;
};

} // namespace trefoilgate
