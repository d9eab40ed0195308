#include "jsonfields.h"

namespace trefoilarch {

namespace {

const JsonFields::Json kNullJson;

} // namespace

JsonFields::JsonFields(const Json& aObject,
                       std::string aPath,
                       PolicyFaults& aFaults)
  : mObject(aObject.is_object() ? aObject : kNullJson)
  , mPath(std::move(aPath))
  , mFaults(aFaults)
{
  if (!aObject.is_object()) {
    mFaults.push_back({ mPath.empty() ? "body" : mPath, "must be an object" });
  }
}

const JsonFields::Json*
JsonFields::Find(const std::string& aName)
{
  mRequestedFields.insert(aName);
  if (!mObject.is_object()) {
    return nullptr;
  }
  const auto found = mObject.find(aName);
  return found == mObject.end() ? nullptr : &*found;
}

bool
JsonFields::Has(const std::string& aName)
{
  return Find(aName) != nullptr;
}

std::string
JsonFields::Text(const std::string& aName)
{
  if (mObject.is_object() && Find(aName) == nullptr) {
    AddFault(aName, "is missing");
  }
  return Text(aName, "");
}

std::string
JsonFields::Text(const std::string& aName, std::string aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  if (!member->is_string()) {
    AddFault(aName, "must be a string");
    return aDefault;
  }
  return member->get<std::string>();
}

bool
JsonFields::Bool(const std::string& aName, bool aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  if (!member->is_boolean()) {
    AddFault(aName, "must be true or false");
    return aDefault;
  }
  return member->get<bool>();
}

double
JsonFields::Number(const std::string& aName,
                   double aMin,
                   double aMax,
                   double aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  const double value = member->is_number() ? member->get<double>() : aMin - 1;
  if (!(value >= aMin && value <= aMax)) {
    AddFault(aName,
             "must be a number from " + Json(aMin).dump() + " to " +
               Json(aMax).dump());
    return aDefault;
  }
  return value;
}

int64_t
JsonFields::Integer(const std::string& aName,
                    int64_t aMin,
                    int64_t aMax,
                    int64_t aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  const bool inRange =
    member->is_number_integer() &&
    !(member->is_number_unsigned() &&
      member->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
    member->get<int64_t>() >= aMin && member->get<int64_t>() <= aMax;
  if (!inRange) {
    AddFault(aName,
             "must be a whole number from " + std::to_string(aMin) + " to " +
               std::to_string(aMax));
    return aDefault;
  }
  return member->get<int64_t>();
}

const JsonFields::Json&
JsonFields::Member(const std::string& aName)
{
  const Json* member = Find(aName);
  return member == nullptr ? kNullJson : *member;
}

void
JsonFields::ForEach(
  const std::string& aName,
  const std::function<void(const Json&, const std::string&)>& aVisit)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    AddFault(aName, "must be a list");
    return;
  }
  size_t index = 0;
  for (const Json& element : *member) {
    aVisit(element, PathOf(aName) + "[" + std::to_string(index++) + "]");
  }
}

void
JsonFields::AddFault(const std::string& aName, std::string aReason)
{
  mFaults.push_back({ PathOf(aName), std::move(aReason) });
}

std::string
JsonFields::PathOf(const std::string& aName) const
{
  return mPath.empty() ? aName : mPath + "." + aName;
}

void
JsonFields::CheckUnknownFields()
{
  if (!mObject.is_object()) {
    return;
  }
  for (const auto& [name, value] : mObject.items()) {
    if (!mRequestedFields.contains(name)) {
      AddFault(name, "is not a known field");
    }
  }
}

} // namespace trefoilarch
