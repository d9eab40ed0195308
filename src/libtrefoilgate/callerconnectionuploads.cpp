#include "bootclock.h"
#include "callerconnection.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>

/** The memory of the request that a connection reads. */
namespace trefoilgate {

namespace http = boost::beast::http;
using trefoilarch::UploadClass;
using trefoilarch::UploadNeed;

namespace {

/** A head up to this size is read before its memory is requested. */
constexpr size_t kUncountedHeadBytes = 8192;

/** Memory for a chunked body at first, as its length is not known. */
constexpr size_t kFirstChunkedBytes = 16384;

/** Bytes that a body may take beyond its size, as growing it copies it. */
constexpr size_t kMaxSlackBytes = 65536;

/** The parser's fields and the copy that is forwarded. */
constexpr size_t kCopiesOfHead = 2;

/** The body of a request and its memory in the budget. */
struct CountedBody
{
  std::string mText;
  std::shared_ptr<UploadMemory> mMemory;
};

} // namespace

bool
CallerConnection::EnsureMemory()
{
  if (mHooks.mUploads == nullptr) {
    return true;
  }
  if (mWaitsSince) {
    return false;
  }
  if (!mHeadChecked) {
    // Incomplete heads must not take what is kept for small requests.
    return mUpload || UnparsedBytes() <= kUncountedHeadBytes ||
           RequestMemory({ .mClass = UploadClass::Large,
                           .mBytes = mLimits.mMaxHeaderBytes });
  }
  const size_t body = mParser->get().body().size() + UnparsedBytes();
  if (mBodyRoom > 0 && (body <= mBodyRoom || !mParser->chunked())) {
    return true;
  }
  size_t room = mParser->content_length().value_or(0);
  if (mParser->chunked()) {
    // Beyond the first bytes all that it may need: uploads that hold memory and
    // wait for more could wait for one another.
    room =
      body <= kFirstChunkedBytes ? kFirstChunkedBytes : mLimits.mMaxBodyBytes;
    if (mBodyRoom == room) {
      return true; // the parser rejects it
    }
  }
  mBodyRoom = room;
  const size_t bytes = kCopiesOfHead * mHeadBytes + room;
  const UploadClass uploadClass = mHooks.mUploads->Budget().ClassOf(bytes);
  if (uploadClass == UploadClass::Small) {
    return RequestMemory({ .mBytes = bytes });
  }
  if (!mRequest) {
    mRequest = MakeRequest();
  }
  return RequestMemory({ .mOwner = mHooks.mWorkspaceOf(*mRequest),
                         .mClass = uploadClass,
                         .mBytes = bytes });
}

bool
CallerConnection::RequestMemory(UploadNeed aNeed)
{
  if (!mUpload) {
    mUpload = mHooks.mUploads->Begin();
  }
  if (mUpload->Request(std::move(aNeed))) {
    return true;
  }
  mWaitsSince = BootNow();
  mHooks.mUploads->Await(mUpload->Id(), *this);
  return false;
}

void
CallerConnection::OnUploadAdmitted()
{
  const auto self = shared_from_this();
  mWaitTime = mWaitTime + (BootNow() - *mWaitsSince);
  mWaitsSince.reset();
  Parse();
  Read();
}

void
CallerConnection::BeginBody()
{
  if (mParser->eager()) {
    return;
  }
  mParser->eager(true);
  const bool awaitsContinue =
    !mParser->is_done() && UnparsedBytes() == 0 &&
    boost::beast::iequals(mParser->get()[http::field::expect], "100-continue");
  if (awaitsContinue) {
    mUnsent.Append("HTTP/1.1 100 Continue\r\n\r\n");
    Write();
  }
}

void
CallerConnection::CheckUpload()
{
  if (!mUpload || !mHeadChecked) {
    return;
  }
  const size_t received = mParser->get().body().size();
  if (mUpload->IsOverdue() || mUpload->IsTooSlow(received)) {
    RejectUpload();
  }
}

void
CallerConnection::RejectUpload()
{
  const CallerRequest request = mRequest ? *mRequest : MakeRequest();
  DropUpload();
  mKeepAlive = false;
  mRequestUnread = true;
  mState = State::Serving;
  mHooks.mOnNoMemory(shared_from_this(), request);
}

void
CallerConnection::DropUpload()
{
  if (mUpload && mWaitsSince) {
    mHooks.mUploads->Cancel(mUpload->Id());
  }
  mUpload.reset();
  mWaitsSince.reset();
}

std::shared_ptr<const std::string>
CallerConnection::TakeBody()
{
  const auto body = std::make_shared<CountedBody>(
    CountedBody{ .mText = std::move(mParser->get().body()),
                 .mMemory = std::exchange(mUpload, nullptr) });
  if (body->mText.capacity() - body->mText.size() > kMaxSlackBytes) {
    body->mText.shrink_to_fit();
  }
  if (body->mMemory) {
    body->mMemory->Shrink(kCopiesOfHead * mHeadBytes + body->mText.size());
  }
  return { body, &body->mText };
}

} // namespace trefoilgate
