#pragma once

/**
 * The public interface for embedders: the cores of the entry and the sidecar,
 * which take events and the time and return actions, and the policy that they
 * apply. docs/DESIGN.md, "The library's public face", describes the calls and
 * their order; tests/unit/embeddingtest.cpp is a short example. Besides them,
 * duties that one process performs for a fleet; see docs/design/duties.md.
 */

#include "classifier.h"
#include "entrycore.h"
#include "errors.h"
#include "ids.h"
#include "messages.h"
#include "millis.h"
#include "policy.h"
#include "servicelevel.h"
#include "sidecarcore.h"
#include "singletonduty.h"
#include "usagereporter.h"
