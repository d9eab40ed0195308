#pragma once

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/messages.h"
#include "libtrefoilio/httpmessage.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** A caller's HTTP request, read and checked, but not yet classified. */
struct CallerRequest
{
  CallerClaims mClaims;
  Call mCall;
  std::string mIdempotencyKey;
  uint32_t mPromptTokens = 0; /**< estimate */
  uint64_t mPrefixHash = 0;
  uint32_t mMaxOutputTokens = 0; /**< the caller's own limit; 0: none */
  /** The caller wants the engine's event stream as it comes. */
  bool mStreamed = false;
};

/** Where requests to model engines and plain services are found. */
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kServicePrefix = "/v1/services/";

/** Lower-case SHA-256 in hexadecimal. */
std::string
Sha256Hex(const std::string& aText);

/** The headers' part of the claims. Fails with InvalidRequest. */
Result<CallerClaims>
ReadClaims(const trefoilio::HttpRequest& aHttp, const std::string& aDataCentre);

/** Reads a chat completion. Fails with InvalidRequest. */
Result<CallerRequest>
ReadChat(const trefoilio::HttpRequest& aHttp, const std::string& aDataCentre);

/**
 * Tells a model engine how urgent the call is: the tier is the engine's
 * priority, lower being more urgent. The body is ReadChat()'s.
 */
void
SetPriority(Call& aCall, Tier aTier);

/** Reads a call to a plain service. Fails with InvalidRequest. */
Result<CallerRequest>
ReadServiceCall(const trefoilio::HttpRequest& aHttp,
                const std::string& aDataCentre);

} // namespace trefoilarch
