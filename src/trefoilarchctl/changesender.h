#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilarchctl {

class OperatorClient;

/** A policy change to propose. */
struct ChangeProposal
{
  std::string mAuthor;
  nlohmann::json mOperations;
  /** Objects changed since then are conflicts; unset: no conflicts. */
  std::optional<uint64_t> mBaseVersion{};
};

/** The outcome of a change, as text and as JSON. */
struct ChangeReport
{
  ExitCode mCode = ExitCode::Unknown;
  std::string mText;
  nlohmann::json mJson;
};

/**
 * Proposes a change. Its id is generated before it is sent, so that its outcome
 * can be queried if the response is lost. A query is conclusive, because a
 * process that does not find the change voids it first.
 */
ChangeReport
ProposeChange(OperatorClient& aClient, const ChangeProposal& aOrder);

/** Queries the outcome of a change. */
ChangeReport
QueryChange(OperatorClient& aClient, const std::string& aId);

} // namespace trefoilarchctl
