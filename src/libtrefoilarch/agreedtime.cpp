#include "agreedtime.h"

namespace trefoilarch {

namespace {

/** The agreed time may change slowly, so an older reply no longer counts. */
constexpr Millis kMaxReplyAge{ 10000 };

} // namespace

void
AgreedTime::OnReply(const UsageReply& aReply, Millis aNow)
{
  if (aReply.mFencingToken < mFencingToken) {
    return;
  }
  const Millis offset = aReply.mUnixTime - aNow;
  const bool newHolder = aReply.mFencingToken > mFencingToken;
  const bool tooOld = aNow - mReceivedAt > kMaxReplyAge;
  if (!mOffset || newHolder || tooOld || offset > *mOffset) {
    mOffset = offset;
    mReceivedAt = aNow;
    mFencingToken = aReply.mFencingToken;
  }
}

} // namespace trefoilarch
