#include "errors.h"

#include <array>

namespace trefoilarch {

namespace {

constexpr std::array kAnswers = {
  ErrorAnswer{ ErrorKind::InvalidRequest, "invalid_request", 400, false },
  ErrorAnswer{ ErrorKind::BodyTooLarge, "body_too_large", 413, false },
  ErrorAnswer{ ErrorKind::HeaderTooLarge, "header_too_large", 431, false },
  ErrorAnswer{ ErrorKind::SlowSender, "slow_sender", 408, false },
  ErrorAnswer{ ErrorKind::UnknownWorkspace, "unknown_workspace", 401, false },
  ErrorAnswer{ ErrorKind::BadToken, "bad_token", 401, false },
  ErrorAnswer{ ErrorKind::UnknownClass, "unknown_class", 400, false },
  ErrorAnswer{ ErrorKind::ClassNotAllowed, "class_not_allowed", 403, false },
  ErrorAnswer{ ErrorKind::UnknownModel, "unknown_model", 404, false },
  ErrorAnswer{ ErrorKind::UnknownRoute, "unknown_route", 404, false },
  ErrorAnswer{ ErrorKind::PolicyStale, "policy_stale", 503, true },
  ErrorAnswer{ ErrorKind::UnknownService, "unknown_service", 404, false },
  ErrorAnswer{ ErrorKind::NoEligibleUpstream,
               "no_eligible_upstream",
               503,
               true },
  ErrorAnswer{ ErrorKind::NotReady, "not_ready", 503, true },
  ErrorAnswer{ ErrorKind::TooManyOpen, "too_many_open", 429, true },
  ErrorAnswer{ ErrorKind::Shed, "shed", 429, true },
  ErrorAnswer{ ErrorKind::Quarantined, "quarantined", 503, true },
  ErrorAnswer{ ErrorKind::StreamVersionUnknown,
               "stream_version_unknown",
               503,
               true },
  ErrorAnswer{ ErrorKind::StreamVersionUnavailable,
               "stream_version_unavailable",
               503,
               true },
  ErrorAnswer{ ErrorKind::DeadlineUnmeetable,
               "deadline_unmeetable",
               429,
               true },
  ErrorAnswer{ ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, true },
  ErrorAnswer{ ErrorKind::CallerLeft, "caller_left", 499, false },
  ErrorAnswer{ ErrorKind::UpstreamRefused, "upstream_refused", 502, false },
  ErrorAnswer{ ErrorKind::UpstreamUnreachable,
               "upstream_unreachable",
               503,
               true },
  ErrorAnswer{ ErrorKind::UpstreamFailed, "upstream_failed", 502, true },
  ErrorAnswer{ ErrorKind::AnswerCut, "answer_cut", 502, false },
  ErrorAnswer{ ErrorKind::OutcomeUnknown, "outcome_unknown", 502, false },
  ErrorAnswer{ ErrorKind::DuplicateInProgress,
               "duplicate_in_progress",
               409,
               true },
  ErrorAnswer{ ErrorKind::DuplicateFinished, "duplicate_finished", 409, false },
  ErrorAnswer{ ErrorKind::ClaimUnsettled, "claim_unsettled", 503, true },
  ErrorAnswer{ ErrorKind::ShuttingDown, "shutting_down", 503, true },
  ErrorAnswer{ ErrorKind::PolicyInvalid, "policy_invalid", 422, false },
  ErrorAnswer{ ErrorKind::PolicyConflict, "policy_conflict", 409, false },
  ErrorAnswer{ ErrorKind::PolicyUnknown, "policy_unknown", 503, true },
  ErrorAnswer{ ErrorKind::PlatformUnavailable,
               "platform_unavailable",
               503,
               true },
  ErrorAnswer{ ErrorKind::LeaseLost, "lease_lost", 409, false },
  ErrorAnswer{ ErrorKind::Internal, "internal", 500, false },
};

} // namespace

std::span<const ErrorAnswer>
ErrorAnswers()
{
  return kAnswers;
}

const ErrorAnswer&
AnswerFor(ErrorKind aKind)
{
  return kAnswers.at(static_cast<size_t>(aKind));
}

std::string_view
Name(ErrorKind aKind)
{
  return AnswerFor(aKind).mName;
}

std::string_view
Name(Ran aRan)
{
  return aRan == Ran::No ? "no" : "maybe";
}

} // namespace trefoilarch
