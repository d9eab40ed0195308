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
 * Reads the fields of one JSON object. Faults are recorded with the full path
 * of the field. CheckUnknownFields() records the fields that were not
 * requested.
 */
class JsonFields
{
public:
  using Json = nlohmann::json;

  JsonFields(const Json& aObject, std::string aPath, PolicyFaults& aFaults);

  bool Has(const std::string& aName);
  std::string Text(const std::string& aName);
  std::string Text(const std::string& aName, std::string aDefault);
  bool Bool(const std::string& aName, bool aDefault);
  double Number(const std::string& aName,
                double aMin,
                double aMax,
                double aDefault);
  int64_t Integer(const std::string& aName,
                  int64_t aMin,
                  int64_t aMax,
                  int64_t aDefault);
  /** The member's JSON value, or null if it is missing. */
  const Json& Member(const std::string& aName);
  /** Calls aVisit with each element of an array and the element's path. */
  void ForEach(
    const std::string& aName,
    const std::function<void(const Json&, const std::string&)>& aVisit);
  /** Records a fault of one of the object's fields. */
  void AddFault(const std::string& aName, std::string aReason);
  std::string PathOf(const std::string& aName) const;
  /** Records a fault for each field that was not requested. */
  void CheckUnknownFields();

private:
  const Json* Find(const std::string& aName);

  const Json& mObject;
  std::string mPath;
  PolicyFaults& mFaults;
  std::set<std::string> mRequestedFields;
};

} // namespace trefoilarch
