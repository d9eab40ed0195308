#include "boundedjson.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

bool
IsWithinJsonDepth(std::string_view aText)
{
  size_t depth = 0;
  bool inText = false;
  for (size_t each = 0; each < aText.size(); ++each) {
    const char byte = aText[each];
    if (byte == '"') {
      inText = !inText;
    } else if (inText) {
      each += byte == '\\' ? 1 : 0;
    } else if (byte == '[' || byte == '{') {
      if (++depth > kMaxJsonDepth) {
        return false;
      }
    } else if ((byte == ']' || byte == '}') && depth > 0) {
      depth--;
    }
  }
  return true;
}

nlohmann::json
ParseBoundedJson(std::string_view aText)
{
  using Json = nlohmann::json;
  return IsWithinJsonDepth(aText) ? Json::parse(aText, nullptr, false)
                                  : Json(Json::value_t::discarded);
}

} // namespace trefoilarch
