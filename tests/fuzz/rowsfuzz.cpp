#include "fuzztarget.h"

#include "quarantinerows.h"
#include "rowreader.h"
#include "storerows.h"

#include "libtrefoilarch/dutyrecord.h"

#include <string>

using namespace trefoilplatform;

/** Rows of the store: its responses, and the values of each table but the
 * policy's. */
void
ReadInput(std::string_view aInput)
{
  const std::string text(aInput);
  std::string reason;
  static_cast<void>(ReadUpstream("i-1", text, reason));
  static_cast<void>(ReadStoreWrite(text));
  static_cast<void>(trefoilarch::DutyRecordFromText(text));
  static_cast<void>(trefoilarch::StoredReportFromText(text));
  QuarantineRows quarantine({});
  quarantine.ApplyRow(
    { .mKey = "quarantine/00000000000000010000000000000002", .mValue = text });
  if (auto rows = ReadStoreRows(text)) {
    constexpr uint64_t kEra = 3;
    SetEra(*rows, kEra);
    for (const Row& each : rows->mRows) {
      static_cast<void>(ReadUpstream(each.mKey, each.mValue, reason));
      if (QuarantineRows::IsRow(each)) {
        quarantine.ApplyRow(each);
      }
    }
  }
}
