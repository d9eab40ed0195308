#pragma once

#include "millis.h"

#include <boost/leaf.hpp>

#include <span>
#include <string>
#include <string_view>

namespace trefoilarch {

/** All reasons for which the system rejects or fails a request. */
enum class ErrorKind
{
  InvalidRequest,
  BodyTooLarge,
  HeaderTooLarge,
  SlowSender,
  UnknownWorkspace,
  BadToken,
  UnknownClass,
  ClassNotAllowed,
  UnknownModel,
  UnknownRoute,
  PolicyStale,
  UnknownService,
  NoEligibleUpstream,
  NotReady,
  TooManyOpen,
  Shed,
  Quarantined,
  StreamVersionUnknown,
  StreamVersionUnavailable,
  DeadlineUnmeetable,
  DeadlineExceeded,
  CallerLeft,
  UpstreamRefused,
  UpstreamUnreachable,
  UpstreamFailed,
  AnswerCut,
  OutcomeUnknown,
  DuplicateInProgress,
  DuplicateFinished,
  ClaimUnsettled,
  ShuttingDown,
  PolicyInvalid,
  PolicyConflict,
  PolicyUnknown,
  PlatformUnavailable,
  LeaseLost,
  Internal,
};

/** Whether a request may have been executed by an upstream. */
enum class Ran
{
  No,
  Maybe,
};

/** The response that a caller gets for one kind of error. */
struct ErrorAnswer
{
  ErrorKind mKind;
  std::string_view mName; /**< value of the response's `kind` field */
  int mHttpStatus;
  bool mRetryable; /**< the response carries a retry time */
};

/** One row for each kind of error, in the order of ErrorKind. */
std::span<const ErrorAnswer>
ErrorAnswers();

const ErrorAnswer&
AnswerFor(ErrorKind aKind);

/** The value of the response's `kind` field. */
std::string_view
Name(ErrorKind aKind);

/** "no" or "maybe". */
std::string_view
Name(Ran aRan);

/** Why a request or an operation was rejected or failed. */
struct Refusal
{
  ErrorKind mKind = ErrorKind::Internal;
  Ran mRan = Ran::No;
  /** How long to wait before a retry; zero where a retry does not help. */
  Millis mRetryAfter;
  /** Human-readable; never contains request text, tokens or keys. */
  std::string mMessage;

  bool operator==(const Refusal&) const = default;
};

/** A value, or a Refusal carried by Boost.LEAF. */
template<typename T>
using Result = boost::leaf::result<T>;

/** Fails the current operation with a Refusal. */
inline boost::leaf::error_id
Fail(Refusal aRefusal)
{
  return boost::leaf::new_error(std::move(aRefusal));
}

} // namespace trefoilarch
