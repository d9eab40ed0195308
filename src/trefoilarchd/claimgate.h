#pragma once

#include "callerrequest.h"

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/errors.h"
#include "libtrefoilio/httpmessage.h"

#include <memory>
#include <optional>

namespace trefoilarch {

class ClaimHold;
class ClaimService;

/** How a request with an idempotency key goes on. */
struct ClaimPass
{
  /** Follows the run; null where the request needs no claim. */
  std::shared_ptr<ClaimHold> mHold;
  /** Set where the request is a repeat: what the first one was answered. */
  std::optional<trefoilio::HttpReply> mRepeat;
};

/**
 * Lets a request that may run only once pass where its idempotency key is
 * free. A request that is idempotent, or has no key, needs no claim.
 */
class ClaimGate
{
public:
  explicit ClaimGate(ClaimService& aClaims);

  /**
   * Waits for the claim. Fails with DuplicateInProgress, DuplicateFinished,
   * OutcomeUnknown, ClaimUnsettled, or InvalidRequest where the key was used
   * for something else.
   */
  Result<ClaimPass> Pass(const CallerRequest& aRequest,
                         bool aIdempotent,
                         const RequestId& aId) const;

private:
  ClaimService& mClaims;
};

} // namespace trefoilarch
