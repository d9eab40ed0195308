#pragma once

namespace standin {

class Exchange;
class Relay;

/**
 * Serves `/control`: GET returns the counters, POST also sets faults.
 * `delay_ms`, `throttle`, `cut_after_bytes`, `refuse_new`, `silence_new` apply
 * until they are set again; `cut: true`, `silence: up|down|both`,
 * `half_open: up|down` apply once, to the open connections.
 */
void
HandleRelayControl(Relay& aRelay, Exchange& aExchange);

} // namespace standin
