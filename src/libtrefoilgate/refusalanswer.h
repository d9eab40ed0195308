#pragma once

#include "callerconnection.h"

#include "libtrefoilarch/errors.h"

#include <string>

namespace trefoilgate {

/** The head of the answer to a refused request: status and Retry-After. */
AnswerHead
RefusalHead(const trefoilarch::Refusal& aRefusal);

/** The body: the kind of error, and whether the request may have run. */
std::string
RefusalBody(const trefoilarch::Refusal& aRefusal);

} // namespace trefoilgate
