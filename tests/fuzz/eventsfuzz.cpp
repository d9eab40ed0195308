#include "fuzztarget.h"

#include "libtrefoilgate/eventtracker.h"

#include <algorithm>
#include <string>

/** A stream of events, in pieces, over two runs. */
void
ReadInput(std::string_view aInput)
{
  if (aInput.empty()) {
    return;
  }
  const size_t piece =
    std::max<size_t>(1, static_cast<unsigned char>(aInput.front()));
  trefoilgate::EventTracker events;
  for (int run = 0; run < 2; ++run) {
    for (size_t at = 1; at < aInput.size(); at += piece) {
      static_cast<void>(events.Add(std::string(aInput.substr(at, piece))));
    }
    events.BeginNextRun();
  }
}
