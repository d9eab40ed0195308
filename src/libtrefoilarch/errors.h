#pragma once

#include "millis.h"

#include <boost/leaf.hpp>

#include <span>
#include <string>
#include <string_view>

namespace trefoilarch {

/** Every way in which the system refuses or fails; the list is closed. */
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

/** One row of the table from error kind to the answer a caller gets. */
struct ErrorAnswer
{
  ErrorKind mKind;
  std::string_view mName; /**< as in the answer's `kind` field */
  int mHttpStatus;
  bool mRetryable; /**< an answer of this kind carries a time to return */
};

/** The whole table, one row for each kind, in the order of the enumeration. */
std::span<const ErrorAnswer>
ErrorAnswers();

/** The row of one kind. */
const ErrorAnswer&
AnswerFor(ErrorKind aKind);

/** The name of a kind, as in an answer's `kind` field. */
std::string_view
Name(ErrorKind aKind);

/** "no" or "maybe". */
std::string_view
Name(Ran aRan);

/** Why a request or an operation was refused or failed. */
struct Refusal
{
  ErrorKind mKind = ErrorKind::Internal;
  Ran mRan = Ran::No;
  /** When to come back; zero where coming back does not help. */
  Millis mRetryAfter;
  /** For people; never request text, tokens or keys. */
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
