#pragma once

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/messages.h"
#include "libtrefoilio/httpmessage.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** A caller's HTTP request, parsed and validated, not yet classified. */
struct CallerRequest
{
  CallerAttributes mClaims;
  Call mCall;
  std::string mIdempotencyKey;
  uint32_t mPromptTokens = 0; /**< estimate */
  uint64_t mPrefixHash = 0;
  uint32_t mMaxOutputTokens = 0; /**< the caller's own limit; 0: none */
  /** Whether the caller requested the engine's event stream. */
  bool mStreamed = false;
};

/** The paths of requests to model engines and plain services. */
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kServicePrefix = "/v1/services/";

/** Returns the SHA-256 of a text in lower-case hexadecimal. */
std::string
Sha256Hex(const std::string& aText);

/** Reads the claims in the headers. Fails with InvalidRequest. */
Result<CallerAttributes>
ReadClaims(const trefoilio::HttpRequest& aHttp, const std::string& aDataCentre);

/** Reads a chat completion. Fails with InvalidRequest. */
Result<CallerRequest>
ReadChat(const trefoilio::HttpRequest& aHttp, const std::string& aDataCentre);

/**
 * Sets the engine's `priority` field to the tier; lower is more urgent. The
 * body must come from ReadChat().
 */
void
SetPriority(Call& aCall, Tier aTier);

/** Reads a call to a plain service. Fails with InvalidRequest. */
Result<CallerRequest>
ReadServiceCall(const trefoilio::HttpRequest& aHttp,
                const std::string& aDataCentre);

} // namespace trefoilarch
