#pragma once

#include "libtrefoilarch/claimmessages.h"
#include "libtrefoilarch/errors.h"
#include "libtrefoilarch/messages.h"

#include <string>
#include <string_view>

namespace trefoilarch {

class ClaimService;

/**
 * Tracks the response to a request whose claim succeeded and reports the
 * outcome to the claim service. If it is destroyed before the response has
 * ended, it reports that the request may have run.
 */
class ClaimTracker
{
public:
  ClaimTracker(ClaimService& aService, const RequestId& aId);
  ~ClaimTracker();
  ClaimTracker(const ClaimTracker&) = delete;
  ClaimTracker& operator=(const ClaimTracker&) = delete;

  void OnHead(int32_t aStatus, const Headers& aHeaders);
  void OnData(std::string_view aData);
  void OnEnd();
  void OnError(const Refusal& aRefusal);

private:
  ClaimService& mService;
  RequestId mId;
  CachedAnswer mAnswer;
  bool mTooLong = false;
  bool mEnded = false;
};

} // namespace trefoilarch
