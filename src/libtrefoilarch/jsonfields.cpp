#include "jsonfields.h"

namespace trefoilarch {

namespace {

const JsonFields::Json kNothing;

} // namespace

JsonFields::JsonFields(const Json& aObject,
                       std::string aPath,
                       PolicyFaults& aFaults)
  : mObject(aObject.is_object() ? aObject : kNothing)
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
  mKnown.insert(aName);
  if (!mObject.is_object()) {
    return nullptr;
  }
  const auto place = mObject.find(aName);
  return place == mObject.end() ? nullptr : &*place;
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
JsonFields::Flag(const std::string& aName, bool aDefault)
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
                   double aLeast,
                   double aMost,
                   double aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  const double value = member->is_number() ? member->get<double>() : aLeast - 1;
  if (!(value >= aLeast && value <= aMost)) {
    AddFault(aName,
             "must be a number from " + Json(aLeast).dump() + " to " +
               Json(aMost).dump());
    return aDefault;
  }
  return value;
}

int64_t
JsonFields::Integer(const std::string& aName,
                    int64_t aLeast,
                    int64_t aMost,
                    int64_t aDefault)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return aDefault;
  }
  const bool good =
    member->is_number_integer() &&
    !(member->is_number_unsigned() &&
      member->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
    member->get<int64_t>() >= aLeast && member->get<int64_t>() <= aMost;
  if (!good) {
    AddFault(aName,
             "must be a whole number from " + std::to_string(aLeast) + " to " +
               std::to_string(aMost));
    return aDefault;
  }
  return member->get<int64_t>();
}

const JsonFields::Json&
JsonFields::Member(const std::string& aName)
{
  const Json* member = Find(aName);
  return member == nullptr ? kNothing : *member;
}

void
JsonFields::ForEach(
  const std::string& aName,
  const std::function<void(const Json&, const std::string&)>& aDo)
{
  const Json* member = Find(aName);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    AddFault(aName, "must be a list");
    return;
  }
  size_t place = 0;
  for (const Json& element : *member) {
    aDo(element, PathOf(aName) + "[" + std::to_string(place++) + "]");
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
JsonFields::Finish()
{
  if (!mObject.is_object()) {
    return;
  }
  for (const auto& [name, value] : mObject.items()) {
    if (!mKnown.contains(name)) {
      AddFault(name, "is not a known field");
    }
  }
}

} // namespace trefoilarch
