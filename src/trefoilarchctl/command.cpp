#include "command.h"

namespace trefoilarchctl {

namespace {

constexpr const char* kPolicyHelp =
  R"(  policy get                        print the policy as JSON
  policy set FILE [--force]         replace the whole policy
  policy edit FILE [--base VERSION] apply a list of operations
  policy history [--after VERSION] [--limit COUNT]
  policy ask ID                     what became of a change

FILE may be - for standard input. `policy set` takes the file's "version" as
the one it was made from, so that others' changes since then are a conflict;
--force does without. `policy edit` takes operations and opens no editor: the
program starts no other process.

Examples:
  trefoilarchctl policy get > policy.json
  trefoilarchctl policy set policy.json
  echo '[{"op":"drain","upstream":"engine-1"}]' | trefoilarchctl policy edit -
  trefoilarchctl policy history --after 120 --limit 20
)";

constexpr const char* kClassHelp =
  R"(  class list
  class set NAME [--tier 0..3] [--floor 0..1] [--first-token-ms N]
      [--between-token-ms N] [--deadline-ms N] [--idempotent true|false]
      [--caller REQUIREMENT]... [--any-caller]
  class remove NAME

`class set` changes what is given and leaves the rest of the class as it is.

Examples:
  trefoilarchctl class set call --tier 0 --first-token-ms 320 --floor 0.2
  trefoilarchctl class set call --caller 'team in agents,staff'
)";

constexpr const char* kWorkspaceHelp =
  R"(  workspace list
  workspace set NAME [--weight N] [--default-class CLASS]
      [--token-file FILE | --token-sha256 HASH | --no-token]
      [--label KEY=VALUE]... [--unlabel KEY]...
  workspace remove NAME

FILE may be - for standard input; only the token's hash leaves this program.

Examples:
  trefoilarchctl workspace set riga-desk --default-class call --weight 2
  trefoilarchctl workspace set riga-desk --token-file - < token.txt
)";

constexpr const char* kSelectorHelp =
  R"(  selector list
  selector set NAME [--traffic REQUIREMENT]... [--upstream REQUIREMENT]...
  selector remove NAME

Traffic that meets all of --traffic may go to upstreams that meet all of
--upstream. A requirement is `key=value`, `key!=value`, `key in a,b`,
`key not in a,b`, `key` (is there) or `!key` (is not there).

Examples:
  trefoilarchctl selector set calls --traffic class=call \
      --upstream model=base --upstream 'data_centre in riga-1,riga-2'
)";

constexpr const char* kLabelHelp =
  R"(  label UPSTREAM KEY=VALUE... KEY-...

KEY- takes a label away.

Examples:
  trefoilarchctl label engine-1 pool=calls canary-
)";

constexpr const char* kDrainHelp =
  R"(  drain UPSTREAM       no new work for the upstream; what runs is finished
  undrain UPSTREAM     work for it again

Examples:
  trefoilarchctl drain engine-1
)";

constexpr const char* kStatusHelp =
  R"(  status               the fleet as an entry sees it

Examples:
  trefoilarchctl status --operator http://10.0.0.5:7100
)";

constexpr const char* kStateHelp =
  R"(  state                dump of the state of the process, in JSON

Any process has it, entries and sidecars alike.

Examples:
  trefoilarchctl state --operator http://10.0.0.9:7200
)";

constexpr const char* kMetricsHelp =
  R"(  metrics [PREFIX]     the process's metrics in the Prometheus text format

Examples:
  trefoilarchctl metrics entry_ --operator http://10.0.0.5:7100
)";

constexpr const char* kQuarantineHelp =
  R"(  quarantine                       requests that a gate does not run, as they
                                   crash each upstream that runs them, and
                                   prompt segments with which it runs none
  quarantine release FINGERPRINT   run it again, at all gates

Examples:
  trefoilarchctl quarantine --operator http://10.0.0.5:7100
  trefoilarchctl quarantine release 2e931a5e89f733e06676b2a47668df30
)";

constexpr const char* kSlowHelp =
  R"(  slow                 upstreams that are slower than usual for their service

FACTOR is the time of work relative to the service's median, 2 is twice as
slow. SOURCE is `own` where the gate measured it, or `peers` where other gates
report it.

Examples:
  trefoilarchctl slow --operator http://10.0.0.5:7100
  trefoilarchctl slow --json --operator http://10.0.0.5:7100
)";

constexpr const char* kSharesHelp =
  R"(  shares               demand and fair share of each workspace by service and
                       tier, in ms of engine time per second

OVER marks a workspace whose demand is over its share: its requests wait or are
refused while the service is contended. BORROWED is what it uses of others'
unused shares. SHED counts its requests that the gate has refused.

Examples:
  trefoilarchctl shares --operator http://10.0.0.5:7100
  trefoilarchctl shares --json --operator http://10.0.0.5:7100
)";

constexpr const char* kExplainHelp =
  R"(  explain ID [FILE] [--json]   a request's lines in a gate's log, and what
                              was logged near it about its upstreams, the
                              store and the process

FILE is - or missing for standard input. Exit code 4 where no line has the id.

Examples:
  trefoilarchctl explain 9c41d07be2a35f68 gate.log
  tail -n 100000 gate.log | trefoilarchctl explain 9c41d07be2a35f68
)";

} // namespace

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> kCommands{
    { "policy", "read and change the policy", kPolicyHelp, &RunPolicy },
    { "class", "request classes", kClassHelp, &RunClass },
    { "workspace", "workspaces", kWorkspaceHelp, &RunWorkspace },
    { "selector", "which traffic may go where", kSelectorHelp, &RunSelector },
    { "label", "labels of upstreams", kLabelHelp, &RunLabel },
    { "drain", "take work from an upstream", kDrainHelp, &RunDrain },
    { "undrain", "give it back", kDrainHelp, &RunUndrain },
    { "status", "the fleet at a glance", kStatusHelp, &RunStatus },
    { "state", "dump of a process", kStateHelp, &RunState },
    { "metrics", "metrics of a process", kMetricsHelp, &RunMetrics },
    { "quarantine",
      "requests that crash upstreams",
      kQuarantineHelp,
      &RunQuarantine },
    { "slow", "upstreams that are slow", kSlowHelp, &RunSlow },
    { "shares", "demand and share of workspaces", kSharesHelp, &RunShares },
    { "explain", "what became of a request", kExplainHelp, &RunExplain },
  };
  return kCommands;
}

} // namespace trefoilarchctl
