#pragma once

#include "callrunner.h"

#include <curl/curl.h>

#include <memory>

namespace trefoilio {

/**
 * One libcurl transfer. The request is sent at most once: libcurl resends a
 * request when a reused connection turns out to be closed, so the callback
 * before each send aborts the second one.
 */
class CurlCall
{
public:
  CurlCall(uint64_t aId,
           HttpRequest aRequest,
           CallHooks aHooks,
           long aConnectMillis);
  CurlCall(const CurlCall&) = delete;
  CurlCall& operator=(const CurlCall&) = delete;

  /** Returns the call that owns the handle. */
  static CurlCall* FromHandle(CURL* aHandle);

  uint64_t Id() const { return mId; }
  CURL* Handle() const { return mHandle.get(); }

  /** Reports the result to the mOnEnd hook. */
  void Finish(CURLcode aResult);

private:
  struct HandleCleaner
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  struct ListCleaner
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  void SetTarget(long aConnectMillis);
  void SetBody();
  void SetHeaders();
  void SetCallbacks();
  void AppendHeader(const std::string& aLine);

  static int BeforeSending(void* aSelf, char*, char*, int, int);
  static size_t OnHeader(char* aText, size_t, size_t aLength, void* aSelf);
  static size_t OnBody(char* aText, size_t, size_t aLength, void* aSelf);
  void ReadHeaderLine(std::string_view aLine);

  const uint64_t mId;
  const HttpRequest mRequest;
  const CallHooks mHooks;
  std::unique_ptr<curl_slist, ListCleaner> mHeaderList;
  std::unique_ptr<CURL, HandleCleaner> mHandle;
  int mStatus = 0;
  HttpHeaders mHeaders;
  bool mSent = false;
  bool mHeadDelivered = false;
};

} // namespace trefoilio
