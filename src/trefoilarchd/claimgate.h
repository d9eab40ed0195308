#pragma once

#include "callerrequest.h"

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/errors.h"
#include "libtrefoilio/httpmessage.h"

#include <memory>
#include <optional>

namespace trefoilarch {

class ClaimTracker;
class ClaimService;

/** How a request that was not rejected proceeds. */
struct ClaimAdmission
{
  /** Reports the outcome; null if the request needs no claim. */
  std::shared_ptr<ClaimTracker> mClaimTracker;
  /** Set if the request is a duplicate: the response to the first one. */
  std::optional<trefoilio::HttpReply> mRepeat;
};

/**
 * Admits a non-idempotent request if no other request holds its idempotency
 * key. A request that is idempotent, or has no key, needs no claim.
 */
class ClaimGate
{
public:
  explicit ClaimGate(ClaimService& aClaims);

  /**
   * Waits for the claim. Fails with DuplicateInProgress, DuplicateFinished,
   * OutcomeUnknown, ClaimUnsettled, or InvalidRequest if the key was used for
   * a different request.
   */
  Result<ClaimAdmission> Admit(const CallerRequest& aRequest,
                               bool aIdempotent,
                               const RequestId& aId) const;

private:
  ClaimService& mClaims;
};

} // namespace trefoilarch
