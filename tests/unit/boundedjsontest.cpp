#include "libtrefoilarch/boundedjson.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace trefoilarch;

namespace {

std::string
Nested(size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

} // namespace

Test(boundedjson, values_nested_too_deep_are_discarded)
{
  cr_expect(ParseBoundedJson(Nested(kMaxJsonDepth)).is_array());
  cr_expect(ParseBoundedJson(Nested(kMaxJsonDepth + 1)).is_discarded());
  cr_expect(ParseBoundedJson(Nested(30000)).is_discarded());
  cr_expect(ParseBoundedJson("{").is_discarded());
}

Test(boundedjson, brackets_in_texts_are_no_levels)
{
  const std::string text =
    R"({"a\"[":"\\","b":")" + std::string(100, '[') + R"(","c":[{},{},{}]})";
  cr_expect(ParseBoundedJson(text).is_object());
  const std::string siblings = "[" + std::string(999, ' ') + "[],[],[]]";
  cr_expect(ParseBoundedJson(siblings).is_array());
}
