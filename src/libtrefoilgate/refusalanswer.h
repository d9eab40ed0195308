#pragma once

#include "callerconnection.h"

#include "libtrefoilarch/errors.h"

#include <string>

namespace trefoilgate {

/** The head of an answer that refuses: status, and when to come back. */
AnswerHead
RefusalHead(const trefoilarch::Refusal& aRefusal);

/** Its body: the error's kind, and whether the request may have run. */
std::string
RefusalBody(const trefoilarch::Refusal& aRefusal);

} // namespace trefoilgate
