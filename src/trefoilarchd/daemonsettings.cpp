#include "daemonsettings.h"

namespace trefoilarch {

using trefoilio::HttpUrl;
using trefoilio::IntegerBetween;
using trefoilio::LabelList;
using trefoilio::NotEmpty;
using trefoilio::NumericEndpoint;
using trefoilio::OneOf;
using trefoilio::SettingSpec;

namespace {

constexpr int64_t kMaxMillis = 3600 * 1000;
constexpr int64_t kMaxBytes = 1L << 30;

/** Accepts an empty text or one that passes the check. */
std::function<std::string(const std::string&)>
EmptyOr(std::function<std::string(const std::string&)> aCheck)
{
  return [check = std::move(aCheck)](const std::string& aText) {
    return aText.empty() ? std::string() : check(aText);
  };
}

std::vector<SettingSpec>
CommonSettings()
{
  return {
    { .mName = "role",
      .mHelp = "entry (faces callers) or sidecar (beside an upstream)",
      .mRequired = true,
      .mCheck = OneOf({ "entry", "sidecar" }) },
    { .mName = "name",
      .mHelp = "name of this process, for logs and peers",
      .mRequired = true,
      .mCheck = NotEmpty() },
    { .mName = "data-centre",
      .mHelp = "data centre this process stands in",
      .mDefault = "local",
      .mCheck = NotEmpty() },
    { .mName = "listen",
      .mHelp = "entry: callers' HTTP; sidecar: entries' gRPC (ADDRESS:PORT)",
      .mDefault = "127.0.0.1:0",
      .mCheck = NumericEndpoint() },
    { .mName = "operator-listen",
      .mHelp = "operators' HTTP port (ADDRESS:PORT)",
      .mDefault = "127.0.0.1:0",
      .mCheck = NumericEndpoint() },
    { .mName = "platform",
      .mHelp = "URL of the platform's table, objects and host list",
      .mDefault = "",
      .mCheck = EmptyOr(HttpUrl()) },
    { .mName = "stop-seconds",
      .mHelp = "how long a planned stop waits for requests in flight",
      .mDefault = "600",
      .mCheck = IntegerBetween(0, 86400) },
    { .mName = "log-level",
      .mHelp = "least level that is logged",
      .mDefault = "info",
      .mCheck = OneOf({ "debug", "info", "warning", "error" }) },
  };
}

std::vector<SettingSpec>
EntrySettings()
{
  return {
    { .mName = "peer-listen",
      .mHelp = "entry: gRPC port for policy peers (ADDRESS:PORT)",
      .mDefault = "127.0.0.1:0",
      .mCheck = NumericEndpoint() },
    { .mName = "sidecars",
      .mHelp = "entry: fixed sidecars NAME=ADDRESS:PORT,... without a platform",
      .mDefault = "",
      .mCheck = LabelList() },
    { .mName = "subset-size",
      .mHelp = "entry: sidecars of a model or service it uses; 0: all",
      .mDefault = "12",
      .mCheck = IntegerBetween(0, 10000) },
    { .mName = "most-open",
      .mHelp = "entry: requests that may be open at a time",
      .mDefault = "1000",
      .mCheck = IntegerBetween(1, 100000) },
    { .mName = "most-body-bytes",
      .mHelp = "entry: longest request body",
      .mDefault = "4194304",
      .mCheck = IntegerBetween(1024, kMaxBytes) },
    { .mName = "most-header-bytes",
      .mHelp = "entry: all headers of a request together",
      .mDefault = "16384",
      .mCheck = IntegerBetween(1024, 1 << 20) },
    { .mName = "most-request-mb",
      .mHelp = "entry: all requests that are received or answered together "
               "(MB)",
      .mDefault = "64",
      .mCheck = IntegerBetween(8, 1 << 20) },
    { .mName = "most-answer-mb",
      .mHelp = "entry: all answers that are held for callers together (MB)",
      .mDefault = "64",
      .mCheck = IntegerBetween(1, 1 << 20) },
    { .mName = "receive-seconds",
      .mHelp = "entry: time in which a request must be whole",
      .mDefault = "10",
      .mCheck = IntegerBetween(1, 3600) },
    { .mName = "offer-width",
      .mHelp = "entry: sidecars that a request is offered to at a time",
      .mDefault = "3",
      .mCheck = IntegerBetween(1, 8) },
    { .mName = "silence-ms",
      .mHelp = "entry: silence after which a channel is replaced",
      .mDefault = "1500",
      .mCheck = IntegerBetween(100, kMaxMillis) },
    { .mName = "retry-percent",
      .mHelp = "entry: retries for each hundred requests of a class",
      .mDefault = "10",
      .mCheck = IntegerBetween(0, 100) },
  };
}

std::vector<SettingSpec>
SidecarSettings()
{
  return {
    { .mName = "upstream-name",
      .mHelp = "sidecar: name of its upstream (default: the process's name)",
      .mDefault = "" },
    { .mName = "upstream-url",
      .mHelp = "sidecar: URL of its upstream",
      .mDefault = "",
      .mCheck = EmptyOr(HttpUrl()) },
    { .mName = "upstream-kind",
      .mHelp = "sidecar: engine (OpenAI-compatible) or service (plain HTTP)",
      .mDefault = "engine",
      .mCheck = OneOf({ "engine", "service" }) },
    { .mName = "upstream-key",
      .mHelp = "sidecar: bearer token for its upstream; never shown",
      .mDefault = "" },
    { .mName = "labels",
      .mHelp = "sidecar: the upstream's labels; model=... or service=...",
      .mDefault = "",
      .mCheck = LabelList() },
    { .mName = "engine-fencing",
      .mHelp = "sidecar: whether its engine refuses old fencing numbers",
      .mDefault = "ignore",
      .mCheck = OneOf({ "refuse", "ignore" }) },
    { .mName = "longest-order-ms",
      .mHelp = "sidecar: longest time of an order, from sending to effect",
      .mDefault = "60000",
      .mCheck = IntegerBetween(100, kMaxMillis) },
    { .mName = "load-slots",
      .mHelp = "sidecar: loads at a time in the fleet; the same everywhere",
      .mDefault = "4",
      .mCheck = IntegerBetween(1, 1000) },
    { .mName = "queue-limit",
      .mHelp = "sidecar: requests that may wait",
      .mDefault = "2000",
      .mCheck = IntegerBetween(1, 1000000) },
    { .mName = "most-running",
      .mHelp = "sidecar: requests that may run at a time",
      .mDefault = "256",
      .mCheck = IntegerBetween(1, 100000) },
    { .mName = "first-token-room",
      .mHelp = "sidecar: tokens in flight to begin with",
      .mDefault = "16384",
      .mCheck = IntegerBetween(16, 1L << 40) },
    { .mName = "most-token-room",
      .mHelp = "sidecar: most tokens in flight",
      .mDefault = "1048576",
      .mCheck = IntegerBetween(16, 1L << 40) },
    { .mName = "orphan-ms",
      .mHelp = "sidecar: how long work goes on whose entry is gone",
      .mDefault = "5000",
      .mCheck = IntegerBetween(100, kMaxMillis) },
  };
}

} // namespace

std::vector<SettingSpec>
DaemonSettings()
{
  std::vector<SettingSpec> all = CommonSettings();
  for (const auto& part : { EntrySettings(), SidecarSettings() }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

std::vector<std::string>
CombinedFaults(const trefoilio::Settings& aSettings)
{
  std::vector<std::string> faults;
  if (aSettings.Text("role") == "sidecar") {
    const auto labels = aSettings.LabelMap("labels");
    const bool engine = aSettings.Text("upstream-kind") == "engine";
    const std::string needed = engine ? "model" : "service";
    if (aSettings.Text("upstream-url").empty()) {
      faults.emplace_back("--upstream-url: must be given for a sidecar");
    }
    if (!labels.contains(needed)) {
      faults.push_back("--labels: must hold " + needed +
                       "=... for --upstream-kind " +
                       aSettings.Text("upstream-kind"));
    }
  } else if (aSettings.Text("platform").empty()) {
    faults.emplace_back("--platform: must be given for an entry");
  }
  return faults;
}

} // namespace trefoilarch
