#pragma once

#include "callrecord.h"
#include "trace.h"

#include "../libtrefoilio/callrunner.h"
#include "../libtrefoilio/httpmessage.h"

#include "common/completiontext.h"
#include "common/streamedanswer.h"

namespace trefoilload {

/** Tracks one call and verifies its response byte for byte. */
class AnswerChecker
{
public:
  AnswerChecker(const TraceRequest& aRequest,
                const trefoilio::HttpRequest& aSent);

  void OnHead(int aStatus, const trefoilio::HttpHeaders& aHeaders);
  void OnData(const std::string& aData, int64_t aNow);
  void OnEnd(trefoilio::CallEnd aEnd, int64_t aNow);

  CallRecord& Record() { return mRecord; }

private:
  bool IsStream() const;
  CallOutcome Evaluate(bool aComplete);
  CallOutcome EvaluateStream(bool aComplete);
  CallOutcome EvaluateError();
  /** Evaluates a body that was truncated, with or without an error in it. */
  CallOutcome EvaluateTruncatedBody();
  bool MatchesExpectedBody() const;

  const TraceRequest& mRequest;
  const trefoilio::HttpRequest& mSentRequest;
  standin::CompletionText mExpected;
  standin::StreamedAnswer mStreamedAnswer;
  std::string mBody;
  CallRecord mRecord;
  int64_t mLastTokenAt = 0;
};

} // namespace trefoilload
