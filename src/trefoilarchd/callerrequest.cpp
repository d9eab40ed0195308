#include "callerrequest.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace trefoilarch {

namespace {

using nlohmann::json;
using trefoilio::FindHeader;
using trefoilio::HttpRequest;

constexpr int64_t kMaxDeadlineMillis = 24L * 3600 * 1000;
constexpr size_t kBytesPerToken = 4;
/** Requests share the system prompt and a conversation's first turns. */
constexpr size_t kPrefixBytes = 1024;
constexpr size_t kMaxNameLength = 256;
constexpr std::string_view kBearer = "Bearer ";

/** Hop-by-hop and internal headers, which are not forwarded. */
constexpr std::array kHopHeaders = {
  std::string_view("connection"),
  std::string_view("host"),
  std::string_view("content-length"),
  std::string_view("transfer-encoding"),
  std::string_view("authorization"),
  std::string_view("keep-alive"),
  std::string_view("te"),
  std::string_view("trailer"),
  std::string_view("upgrade"),
  std::string_view("expect"),
  std::string_view("proxy-authorization"),
  std::string_view("x-request-id"),
  std::string_view("x-fencing-number"),
};

boost::leaf::error_id
Invalid(std::string aMessage)
{
  return Fail(Refusal{ .mKind = ErrorKind::InvalidRequest,
                       .mMessage = std::move(aMessage) });
}

std::string
Lower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(
    lower.begin(), lower.end(), lower.begin(), [](unsigned char aOne) {
      return static_cast<char>(std::tolower(aOne));
    });
  return lower;
}

bool
IsForwarded(std::string_view aName)
{
  const std::string name = Lower(aName);
  return name.rfind("x-trefoilarch-", 0) != 0 &&
         std::find(kHopHeaders.begin(), kHopHeaders.end(), name) ==
           kHopHeaders.end();
}

Result<Labels>
ReadLabels(std::string_view aText)
{
  Labels labels;
  while (!aText.empty()) {
    const std::string_view pair = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(pair.size() + 1, aText.size()));
    const size_t equals = pair.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
      return Invalid("X-Trefoilarch-Labels: expected key=value,...");
    }
    labels.emplace(pair.substr(0, equals), pair.substr(equals + 1));
  }
  return labels;
}

Result<std::optional<Millis>>
ReadDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return std::optional<Millis>();
  }
  int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, count);
  if (result.ec != std::errc() || result.ptr != end || count < 1 ||
      count > kMaxDeadlineMillis) {
    return Invalid("X-Trefoilarch-Deadline-Ms: expected 1 to 86400000");
  }
  return std::optional(Millis(count));
}

Result<std::optional<bool>>
ReadIdempotent(std::string_view aText)
{
  if (aText.empty()) {
    return std::optional<bool>();
  }
  if (aText != "true" && aText != "false") {
    return Invalid("X-Trefoilarch-Idempotent: expected true or false");
  }
  return std::optional(aText == "true");
}

/** Returns the start of the concatenated messages, for the prefix hash. */
std::string
PrefixOf(const json& aBody)
{
  std::string prefix = aBody.value("model", "");
  for (const json& message : aBody["messages"]) {
    const auto content = message.find("content");
    if (content != message.end()) {
      prefix +=
        content->is_string() ? content->get<std::string>() : content->dump();
    }
    if (prefix.size() >= kPrefixBytes) {
      break;
    }
  }
  prefix.resize(std::min(prefix.size(), kPrefixBytes));
  return prefix;
}

/** Reads the output limit; the newer field name takes precedence. */
uint32_t
MaxOutputTokensOf(const json& aBody)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const auto limit = aBody.find(name);
    if (limit != aBody.end() && limit->is_number_unsigned()) {
      const auto maxTokens = limit->get<uint64_t>();
      return static_cast<uint32_t>(std::min<uint64_t>(maxTokens, UINT32_MAX));
    }
  }
  return 0;
}

Result<json>
ReadChatBody(const std::string& aText)
{
  json body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return Invalid("body: expected a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxNameLength) {
    return Invalid("model: expected a name");
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty() ||
      !std::all_of(messages->begin(), messages->end(), [](const json& aOne) {
        return aOne.is_object();
      })) {
    return Invalid("messages: expected a list of objects, not empty");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return Invalid("stream: expected true or false");
  }
  return body;
}

} // namespace

std::string
Sha256Hex(const std::string& aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += kDigits[digest[i] >> 4];
    text += kDigits[digest[i] & 0xf];
  }
  return text;
}

Result<CallerAttributes>
ReadClaims(const HttpRequest& aHttp, const std::string& aDataCentre)
{
  const trefoilio::HttpHeaders& headers = aHttp.mHeaders;
  CallerAttributes claims;
  claims.mDataCentre = aDataCentre;
  claims.mWorkspace = FindHeader(headers, "X-Trefoilarch-Workspace");
  claims.mRequestedClass = FindHeader(headers, "X-Trefoilarch-Class");
  BOOST_LEAF_ASSIGN(claims.mLabels,
                    ReadLabels(FindHeader(headers, "X-Trefoilarch-Labels")));
  BOOST_LEAF_ASSIGN(
    claims.mDeadline,
    ReadDeadline(FindHeader(headers, "X-Trefoilarch-Deadline-Ms")));
  BOOST_LEAF_ASSIGN(
    claims.mIdempotent,
    ReadIdempotent(FindHeader(headers, "X-Trefoilarch-Idempotent")));
  const std::string_view bearer = FindHeader(headers, "Authorization");
  if (bearer.substr(0, kBearer.size()) == kBearer) {
    claims.mTokenHash = Sha256Hex(std::string(bearer.substr(kBearer.size())));
  }
  return claims;
}

Result<CallerRequest>
ReadChat(const HttpRequest& aHttp, const std::string& aDataCentre)
{
  CallerRequest request;
  BOOST_LEAF_ASSIGN(request.mClaims, ReadClaims(aHttp, aDataCentre));
  BOOST_LEAF_AUTO(body, ReadChatBody(aHttp.mBody));
  request.mClaims.mModel = body["model"];
  request.mStreamed = body.value("stream", false);
  body.erase("priority");
  if (!request.mStreamed) {
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
  }
  request.mMaxOutputTokens = MaxOutputTokensOf(body);
  const std::string prefix = PrefixOf(body);
  request.mPrefixHash = XXH3_64bits(prefix.data(), prefix.size());
  request.mPromptTokens =
    static_cast<uint32_t>(aHttp.mBody.size() / kBytesPerToken + 1);
  request.mIdempotencyKey = FindHeader(aHttp.mHeaders, "Idempotency-Key");
  request.mCall = Call{ .mMethod = "POST",
                        .mPath = kChatPath,
                        .mHeaders = { { "Content-Type", "application/json" } },
                        .mBody = body.dump(),
                        .mTokenStream = true };
  return request;
}

void
SetPriority(Call& aCall, Tier aTier)
{
  aCall.mBody.insert(1, "\"priority\":" + std::to_string(aTier) + ",");
}

Result<CallerRequest>
ReadServiceCall(const HttpRequest& aHttp, const std::string& aDataCentre)
{
  CallerRequest request;
  BOOST_LEAF_ASSIGN(request.mClaims, ReadClaims(aHttp, aDataCentre));
  const std::string_view rest =
    std::string_view(aHttp.mTarget).substr(std::string(kServicePrefix).size());
  const size_t end = std::min(rest.find_first_of("/?"), rest.size());
  if (end == 0 || end > kMaxNameLength) {
    return Invalid("path: expected /v1/services/{service}/{path}");
  }
  request.mClaims.mService = rest.substr(0, end);
  request.mIdempotencyKey = FindHeader(aHttp.mHeaders, "Idempotency-Key");
  request.mCall.mMethod = aHttp.mMethod;
  request.mCall.mPath = rest.substr(end);
  if (request.mCall.mPath.empty() || request.mCall.mPath.front() != '/') {
    request.mCall.mPath.insert(0, "/");
  }
  for (const auto& header : aHttp.mHeaders) {
    if (IsForwarded(header.first)) {
      request.mCall.mHeaders.push_back(header);
    }
  }
  request.mCall.mBody = aHttp.mBody;
  return request;
}

} // namespace trefoilarch
