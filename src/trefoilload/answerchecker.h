#pragma once

#include "callrecord.h"
#include "trace.h"

#include "../libtrefoilio/callrunner.h"
#include "../libtrefoilio/httpmessage.h"

#include "common/completiontext.h"
#include "common/streamedanswer.h"

namespace trefoilload {

/** Follows one call and judges its answer byte for byte. */
class AnswerChecker
{
public:
  AnswerChecker(const TraceRequest& aRequest,
                const trefoilio::HttpRequest& aSent);

  void TakeHead(int aStatus, const trefoilio::HttpHeaders& aHeaders);
  void TakeData(const std::string& aData, int64_t aNow);
  void TakeEnd(trefoilio::CallEnd aEnd, int64_t aNow);

  CallRecord& Record() { return mRecord; }

private:
  bool IsStream() const;
  CallOutcome Judge(bool aComplete);
  CallOutcome JudgeStream(bool aComplete);
  CallOutcome JudgeError();
  /** A head was sent, and the body broke off: with an error in it or not. */
  CallOutcome JudgeCutBody();
  bool IsRightBody() const;

  const TraceRequest& mRequest;
  const trefoilio::HttpRequest& mSent;
  standin::CompletionText mExpected;
  standin::StreamedAnswer mStreamed;
  std::string mBody;
  CallRecord mRecord;
  int64_t mLastToken = 0;
};

} // namespace trefoilload
