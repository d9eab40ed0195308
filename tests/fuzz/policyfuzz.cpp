#include "fuzztarget.h"

#include "rowreader.h"

#include "libtrefoilarch/routeindex.h"
#include "libtrefoilarch/routepolicyvalidation.h"

#include <memory>
#include <string>

using namespace trefoilarch;

/** The operators' policy, up to the index that requests are bound by. */
void
ReadInput(std::string_view aInput)
{
  std::string reason;
  auto policy = trefoilplatform::ReadPolicy(std::string(aInput), reason);
  if (!policy) {
    return;
  }
  static_cast<void>(ValidateRoutePolicy(*policy));
  const RouteIndex index(
    std::make_shared<const RoutePolicy>(std::move(*policy)));
  static_cast<void>(index.FindService("svc"));
}
