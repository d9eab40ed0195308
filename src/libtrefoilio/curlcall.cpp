#include "curlcall.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace trefoilio {

namespace {

/** Pooled connections idle for longer are not reused; seconds. */
constexpr long kMaxIdleSeconds = 3;
constexpr long kKeepAliveSeconds = 1;
constexpr int kFirstFinalStatus = 200;

/** Headers that apply to the connection and are not forwarded. */
constexpr std::array<std::string_view, 6> kConnectionHeaders{
  "Host",   "Content-Length", "Transfer-Encoding",
  "Expect", "Connection",     "Keep-Alive"
};

bool
IsConnectionHeader(std::string_view aName)
{
  return std::ranges::any_of(kConnectionHeaders, [&](std::string_view aHeader) {
    return SameHeaderName(aName, aHeader);
  });
}

std::string_view
Trimmed(std::string_view aText)
{
  constexpr std::string_view blanks = " \t\r\n";
  const size_t first = aText.find_first_not_of(blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(blanks) - first + 1);
}

/** Parses a status line such as `HTTP/1.1 200 OK`; 0 if it has no code. */
int
ParseStatus(std::string_view aLine)
{
  const size_t blank = aLine.find(' ');
  if (blank == std::string_view::npos) {
    return 0;
  }
  return std::atoi(std::string(aLine.substr(blank + 1, 3)).c_str());
}

} // namespace

CurlCall::CurlCall(uint64_t aId,
                   HttpRequest aRequest,
                   CallHooks aHooks,
                   long aConnectMillis)
  : mId(aId)
  , mRequest(std::move(aRequest))
  , mHooks(std::move(aHooks))
  , mHandle(curl_easy_init())
{
  if (!mHandle) {
    throw std::runtime_error("cannot create a libcurl handle");
  }
  SetTarget(aConnectMillis);
  SetBody();
  SetHeaders();
  SetCallbacks();
}

CurlCall*
CurlCall::FromHandle(CURL* aHandle)
{
  void* call = nullptr;
  curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &call);
  return static_cast<CurlCall*>(call);
}

void
CurlCall::SetTarget(long aConnectMillis)
{
  CURL* handle = mHandle.get();
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle, CURLOPT_URL, mRequest.mTarget.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(
    handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, aConnectMillis);
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
}

void
CurlCall::SetBody()
{
  CURL* handle = mHandle.get();
  const std::string& method = mRequest.mMethod;
  const bool sendsBody =
    !mRequest.mBody.empty() || method == "POST" || method == "PUT";
  if (sendsBody) {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, mRequest.mBody.data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(mRequest.mBody.size()));
  } else if (method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void
CurlCall::AppendHeader(const std::string& aLine)
{
  curl_slist* extended = curl_slist_append(mHeaderList.get(), aLine.c_str());
  if (!extended) {
    throw std::bad_alloc();
  }
  [[maybe_unused]] curl_slist* released = mHeaderList.release();
  mHeaderList.reset(extended);
}

void
CurlCall::SetHeaders()
{
  AppendHeader("Expect:");
  if (FindHeader(mRequest.mHeaders, "Content-Type").empty()) {
    AppendHeader("Content-Type:");
  }
  for (const auto& [name, value] : mRequest.mHeaders) {
    if (!SafeHeader(name, value) || IsConnectionHeader(name)) {
      continue;
    }
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    AppendHeader(line.append(value));
  }
  curl_easy_setopt(mHandle.get(), CURLOPT_HTTPHEADER, mHeaderList.get());
}

void
CurlCall::SetCallbacks()
{
  CURL* handle = mHandle.get();
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &CurlCall::BeforeSending);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &CurlCall::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &CurlCall::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
}

int
CurlCall::BeforeSending(void* aSelf, char*, char*, int, int)
{
  auto* self = static_cast<CurlCall*>(aSelf);
  if (self->mSent) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->mSent = true;
  return CURL_PREREQFUNC_OK;
}

size_t
CurlCall::OnHeader(char* aText, size_t, size_t aLength, void* aSelf)
{
  static_cast<CurlCall*>(aSelf)->ReadHeaderLine({ aText, aLength });
  return aLength;
}

void
CurlCall::ReadHeaderLine(std::string_view aLine)
{
  if (mHeadDelivered) {
    return;
  }
  if (aLine.starts_with("HTTP/")) {
    mStatus = ParseStatus(aLine);
    mHeaders.clear();
    return;
  }
  if (!Trimmed(aLine).empty()) {
    const size_t colon = aLine.find(':');
    if (colon != std::string_view::npos) {
      mHeaders.emplace_back(Trimmed(aLine.substr(0, colon)),
                            Trimmed(aLine.substr(colon + 1)));
    }
    return;
  }
  if (mStatus >= kFirstFinalStatus) {
    mHeadDelivered = true;
    if (mHooks.mOnHead) {
      mHooks.mOnHead(mStatus, std::move(mHeaders));
    }
  }
}

size_t
CurlCall::OnBody(char* aText, size_t, size_t aLength, void* aSelf)
{
  auto* self = static_cast<CurlCall*>(aSelf);
  if (self->mHooks.mOnData) {
    self->mHooks.mOnData(std::string(aText, aLength));
  }
  return aLength;
}

void
CurlCall::Finish(CURLcode aResult)
{
  if (!mHooks.mOnEnd) {
    return;
  }
  if (aResult == CURLE_OK && mHeadDelivered) {
    mHooks.mOnEnd(CallEnd::Complete);
  } else {
    mHooks.mOnEnd(mSent ? CallEnd::Broken : CallEnd::NeverSent);
  }
}

} // namespace trefoilio
