#include "bootclock.h"
#include "callerconnection.h"

#include <algorithm>
#include <utility>

/** The memory of the request that a connection reads. */
namespace trefoilgate {

using trefoilarch::UploadClass;
using trefoilarch::UploadNeed;

namespace {

/** Memory for a chunked body at first, as its length is not known. */
constexpr size_t kFirstChunkedBytes = 16384;

/** Bytes that a body may take beyond its size, as growing it copies it. */
constexpr size_t kMaxSlackBytes = 65536;

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
  const size_t body = mParser->Body().size() + Unparsed().size();
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
  Continue();
}

void
CallerConnection::BeginBody()
{
  if (mParser->eager()) {
    return;
  }
  mParser->eager(true);
  if (mParser->ExpectsContinue() && !mParser->is_done() && Unparsed().empty()) {
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
  const size_t received = mParser->Body().size();
  if (mUpload->IsOverdue() || mUpload->IsTooSlow(received)) {
    RejectUpload();
  }
}

void
CallerConnection::RejectUpload()
{
  const CallerRequest request = std::move(*mRequest);
  RefuseUnread();
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
  const auto body = std::make_shared<CountedBody>(CountedBody{
    .mText = mParser->TakeBody(), .mMemory = std::exchange(mUpload, nullptr) });
  if (body->mText.capacity() - body->mText.size() > kMaxSlackBytes) {
    body->mText.shrink_to_fit();
  }
  if (body->mMemory) {
    body->mMemory->Shrink(kCopiesOfHead * mHeadBytes + body->mText.size());
  }
  return { body, &body->mText };
}

} // namespace trefoilgate
