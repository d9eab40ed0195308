#pragma once

#include "net.h"
#include "record.h"

#include <string>

namespace review {

struct Request
{
  std::string mMethod = "GET";
  std::string mHost = "desk.example";
  std::string mPath;
  std::string mId;
  std::string mKey;
  int mDeadlineMs = 2000;
  /** Further header lines, each with its end. */
  std::string mHeaders;
  std::string mBody;
};

struct Outcome
{
  Clock::time_point mSent;
  /** 0 if there was no whole answer. */
  int mStatus = 0;
  Message mAnswer;
};

std::string
TextOf(const Request& aRequest);

/** Sends one request on a connection of its own, and records both ends. */
Outcome
Call(const std::string& aGate, const Request& aRequest, Record& aRecord);

} // namespace review
