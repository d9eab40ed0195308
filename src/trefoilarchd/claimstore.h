#pragma once

#include "platformclient.h"

#include "libtrefoilarch/claimmessages.h"

#include <memory>

namespace trefoilarch {

/**
 * Stores claims in the platform's table, in rows `claims/<epoch>/<key hash>`,
 * so that expired epochs can be deleted as one key range.
 */
class ClaimStore
{
public:
  explicit ClaimStore(std::shared_ptr<const PlatformClient> aPlatform);

  ClaimCommit Commit(const CommitClaims& aAction) const;
  void Expire(const ExpireClaims& aAction) const;

private:
  std::shared_ptr<const PlatformClient> mPlatform;
};

} // namespace trefoilarch
