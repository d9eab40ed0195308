#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilarchctl {

class OperatorClient;

/** A change of the policy as an operator wants it. */
struct ChangeProposal
{
  std::string mAuthor;
  nlohmann::json mOperations;
  /** Objects changed after it are conflicts; empty: nothing is. */
  std::optional<uint64_t> mBaseVersion{};
};

/** What the operator is told, for people and for programs. */
struct ChangeReport
{
  ExitCode mCode = ExitCode::Unknown;
  std::string mText;
  nlohmann::json mJson;
};

/**
 * Proposes a change. Its id is drawn before it is sent, so that a lost answer
 * can be asked for again; asking settles it, since a process that does not
 * find the change rules it out first.
 */
ChangeReport
ProposeChange(OperatorClient& aClient, const ChangeProposal& aOrder);

/** Asks what became of a change. */
ChangeReport
QueryChange(OperatorClient& aClient, const std::string& aId);

} // namespace trefoilarchctl
