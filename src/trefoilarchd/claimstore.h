#pragma once

#include "platformclient.h"

#include "libtrefoilarch/claimmessages.h"

#include <memory>

namespace trefoilarch {

/**
 * Keeps claims in the platform's table, in rows `claims/<epoch>/<key hash>`,
 * so that those of an old epoch go away in one range.
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
