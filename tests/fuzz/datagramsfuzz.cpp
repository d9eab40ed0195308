#include "fuzztarget.h"

#include "libtrefoilgate/connectiondatagram.h"
#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/loaddatagram.h"
#include "libtrefoilgate/peerdatagram.h"
#include "libtrefoilgate/permitdatagram.h"
#include "libtrefoilgate/streamdatagram.h"
#include "libtrefoilgate/tierdatagram.h"
#include "libtrefoilgate/usagedatagram.h"

#include <vector>

using namespace trefoilgate;

/** Datagrams of other entries. */
void
ReadInput(std::string_view aInput)
{
  const std::vector<uint8_t> bytes(aInput.begin(), aInput.end());
  static_cast<void>(DecodePeerUpdate(bytes));
  static_cast<void>(DecodeTierUpdate(bytes));
  static_cast<void>(DecodeTableUpdate(bytes));
  static_cast<void>(DecodeCrashUpdate(bytes));
  static_cast<void>(DecodeStreamRecord(bytes));
  static_cast<void>(DecodeStreamQuery(bytes));
  static_cast<void>(DecodePermitRequest(bytes));
  static_cast<void>(DecodePermitReply(bytes));
  static_cast<void>(DecodeUsageUpdate(bytes));
  static_cast<void>(DecodeUsageReply(bytes));
  static_cast<void>(DecodeLoadUpdate(bytes));
  static_cast<void>(DecodeConnectionUse(bytes));
}
