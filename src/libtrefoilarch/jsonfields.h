#pragma once

#include "policyfault.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Reads the fields of one JSON object. Every fault is noted under the field's
 * whole path; a field that nobody asked for is a fault when the reader is
 * finished.
 */
class JsonFields
{
public:
  using Json = nlohmann::json;

  JsonFields(const Json& aObject, std::string aPath, PolicyFaults& aFaults);

  bool Has(const std::string& aName);
  std::string Text(const std::string& aName);
  std::string Text(const std::string& aName, std::string aDefault);
  bool Flag(const std::string& aName, bool aDefault);
  double Number(const std::string& aName,
                double aLeast,
                double aMost,
                double aDefault);
  int64_t Integer(const std::string& aName,
                  int64_t aLeast,
                  int64_t aMost,
                  int64_t aDefault);
  /** The member as it stands; an empty value where there is none. */
  const Json& Member(const std::string& aName);
  /** Calls back for each element of an array, with the element's path. */
  void ForEach(const std::string& aName,
               const std::function<void(const Json&, const std::string&)>& aDo);
  /** Notes a fault of one of the object's fields. */
  void AddFault(const std::string& aName, std::string aReason);
  std::string PathOf(const std::string& aName) const;
  /** Notes each field that was not asked for. */
  void Finish();

private:
  const Json* Find(const std::string& aName);

  const Json& mObject;
  std::string mPath;
  PolicyFaults& mFaults;
  std::set<std::string> mKnown;
};

} // namespace trefoilarch
