#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilio/boundedring.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace trefoilgate {

/** Kinds of line, each with a budget of its own. */
enum class LineKind : uint8_t
{
  Process,     /**< start, stop, reload, a dependency lost or regained */
  StateChange, /**< what the process believes has changed */
  Failure,     /**< a refusal, repeat, cancellation or unknown outcome */
  Success,     /**< a request that was served; the first to be left out */
};

/** How much is logged. */
struct DecisionLogOptions
{
  std::string mProcess;
  /** Lines that wait to be written; more are counted as dropped. */
  size_t mRing = 4096;
  /** Lines a second of successes, and of each other kind. */
  uint32_t mSuccessesPerSecond = 50;
  uint32_t mOthersPerSecond = 400;
};

/**
 * Writes one JSON object a line to standard output, from a thread of its own.
 * The loop never waits for a reader: what does not fit is counted, and the
 * count is written with the next line that fits.
 */
class DecisionLog
{
public:
  explicit DecisionLog(DecisionLogOptions aOptions);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /** Adds `t_ms`, `process` and `event` to the fields, of which there must
   * be some; aEvent goes out as it is. */
  void Write(LineKind aKind,
             const char* aEvent,
             const nlohmann::ordered_json& aFields);

  uint64_t LeftOut() const { return mLeftOut; }

private:
  struct Budget
  {
    trefoilarch::Millis mSecond;
    uint32_t mLines = 0;
    uint64_t mLeftOut = 0;
  };

  bool Allowed(LineKind aKind, trefoilarch::Millis aNow);
  void Run();

  DecisionLogOptions mOptions;
  /** The field of every line, ready-made. */
  std::string mProcess;
  std::map<LineKind, Budget> mBudgets;
  trefoilio::BoundedRing<std::string> mRing;
  uint64_t mLeftOut = 0;
  uint64_t mUnreported = 0;
  std::thread mWriter;
};

} // namespace trefoilgate
