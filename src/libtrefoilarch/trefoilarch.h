#pragma once

/**
 * All that an embedder needs: the entry's and the sidecar's cores, which take
 * events and the time and return actions, and the policy that they go by.
 * docs/DESIGN.md, "The library's public face", says who calls what and when;
 * tests/unit/embeddingtest.cpp is a short example.
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
