#pragma once

namespace standin {

class Exchange;
class Relay;

/**
 * Answers `GET /control` with the counts and obeys `POST /control`: `delay_ms`,
 * `throttle`, `cut_after_bytes`, `refuse_new`, `silence_new` hold until they
 * are set again; `cut: true`, `silence: up|down|both`, `half_open: up|down`
 * strike the connections that are open now.
 */
void
HandleRelayControl(Relay& aRelay, Exchange& aExchange);

} // namespace standin
