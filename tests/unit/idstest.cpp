#include "libtrefoilarch/ids.h"
#include "libtrefoilarch/errors.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(ids, text_round_trips)
{
  const bool holds = rc::check([](uint64_t aHigh, uint64_t aLow) {
    const RequestId id{ aHigh, aLow };
    RC_ASSERT(RequestId::FromText(id.Text()) == id);
  });
  cr_assert(holds);
}

Test(ids, malformed_text_gives_the_zero_id)
{
  cr_assert(RequestId::FromText("").Text() == RequestId().Text());
  cr_assert(RequestId::FromText(std::string(32, 'g')) == RequestId());
  cr_assert(RequestId::FromText(std::string(31, 'a')) == RequestId());
}

Test(errors, table_rows_are_in_the_order_of_the_kinds)
{
  size_t index = 0;
  for (const ErrorAnswer& row : ErrorAnswers()) {
    cr_assert(static_cast<size_t>(row.mKind) == index++);
    cr_assert(row.mHttpStatus >= 400 && row.mHttpStatus < 600);
  }
  cr_assert(index == static_cast<size_t>(ErrorKind::Internal) + 1);
}
