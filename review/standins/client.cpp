#include "client.h"

namespace review {

std::string
TextOf(const Request& aRequest)
{
  std::string text = aRequest.mMethod + " " + aRequest.mPath + " HTTP/1.1\r\n";
  text += "Host: " + aRequest.mHost + "\r\n";
  text += "X-Request-Id: " + aRequest.mId + "\r\n";
  text += "X-Deadline-Ms: " + std::to_string(aRequest.mDeadlineMs) + "\r\n";
  if (!aRequest.mKey.empty()) {
    text += "X-Credential: " + aRequest.mKey + "\r\n";
  }
  text += aRequest.mHeaders;
  if (aRequest.mMethod != "GET") {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.mBody;
}

Outcome
Call(const std::string& aGate, const Request& aRequest, Record& aRecord)
{
  Outcome outcome{ .mSent = Clock::now() };
  const Socket connection = Connect(aGate, Ms(1000));
  outcome.mSent = Clock::now();
  aRecord.Write("sent " + aRequest.mId + " to " + aGate + aRequest.mPath +
                  " key " + aRequest.mKey,
                outcome.mSent);
  if (connection.IsOpen() && SendAll(connection.Get(), TextOf(aRequest))) {
    const auto answer = Reader(connection.Get())
                          .Next(outcome.mSent + Ms(aRequest.mDeadlineMs + 500));
    if (answer) {
      outcome.mAnswer = *answer;
      outcome.mStatus = answer->Status();
    }
  }
  aRecord.Write("answered " + aRequest.mId + " status " +
                std::to_string(outcome.mStatus));
  return outcome;
}

} // namespace review
