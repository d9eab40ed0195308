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

Test(ids, other_text_is_refused)
{
  cr_assert(RequestId::FromText("").Text() == RequestId().Text());
  cr_assert(RequestId::FromText(std::string(32, 'g')) == RequestId());
  cr_assert(RequestId::FromText(std::string(31, 'a')) == RequestId());
}

Test(errors, table_has_each_kind_in_its_place)
{
  size_t place = 0;
  for (const ErrorAnswer& row : ErrorAnswers()) {
    cr_assert(static_cast<size_t>(row.mKind) == place++);
    cr_assert(row.mHttpStatus >= 400 && row.mHttpStatus < 600);
  }
  cr_assert(place == static_cast<size_t>(ErrorKind::Internal) + 1);
}
