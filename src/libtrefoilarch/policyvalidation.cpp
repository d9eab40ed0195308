#include "policyvalidation.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace trefoilarch {

namespace {

constexpr size_t kMaxNameLength = 128;
constexpr size_t kMaxValueLength = 256;
constexpr size_t kMaxChangeIdLength = 100;
constexpr size_t kHashDigits = 64;
/** Rounding error of the sum of shares, which are given as decimals. */
constexpr double kFloorTolerance = 1e-9;

/** Letters, digits and some punctuation: safe in paths, labels and logs. */
bool
IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 ||
                  std::string_view("-_.:/@+").find(static_cast<char>(aChar)) !=
                    std::string_view::npos;
         });
}

bool
IsValidValue(std::string_view aValue)
{
  return aValue.size() <= kMaxValueLength &&
         std::none_of(aValue.begin(), aValue.end(), [](unsigned char aChar) {
           return std::iscntrl(aChar) != 0 || aChar == ',';
         });
}

bool
IsValidHash(std::string_view aHash)
{
  return aHash.empty() ||
         (aHash.size() == kHashDigits &&
          std::all_of(aHash.begin(), aHash.end(), [](unsigned char aChar) {
            return (aChar >= '0' && aChar <= '9') ||
                   (aChar >= 'a' && aChar <= 'f');
          }));
}

/** Collects the faults of one policy. */
class PolicyValidator
{
public:
  explicit PolicyValidator(const Policy& aPolicy)
    : mPolicy(aPolicy)
  {
  }

  PolicyFaults Validate()
  {
    CheckClasses();
    for (const auto& [name, workspace] : mPolicy.mWorkspaces) {
      CheckWorkspace(name, workspace);
    }
    for (const auto& [name, selector] : mPolicy.mSelectors) {
      const std::string path = "selectors[" + name + "]";
      CheckName(path, name);
      CheckRequirements(path + ".traffic", selector.mTraffic);
      CheckRequirements(path + ".upstreams", selector.mUpstreams);
    }
    for (const auto& [name, upstream] : mPolicy.mUpstreams) {
      const std::string path = "upstreams[" + name + "]";
      CheckName(path, name);
      CheckLabels(path, upstream.mLabels, { "upstream", "data_centre" });
    }
    return std::move(mFaults);
  }

private:
  void CheckClasses()
  {
    double floors = 0;
    for (const auto& [name, requestClass] : mPolicy.mClasses) {
      const std::string path = "classes[" + name + "]";
      CheckName(path, name);
      CheckRequirements(path + ".callers", requestClass.mCallers);
      floors += requestClass.mFloor;
      if (floors > 1 + kFloorTolerance) {
        AddFault(path + ".floor",
                 "the floors of all classes add up to more than 1");
        floors -= requestClass.mFloor;
      }
    }
  }

  void CheckWorkspace(const std::string& aName, const Workspace& aWorkspace)
  {
    const std::string path = "workspaces[" + aName + "]";
    CheckName(path, aName);
    if (!IsValidHash(aWorkspace.mTokenHash)) {
      AddFault(path + ".token_sha256",
               "must be empty or 64 lower-case hexadecimal digits");
    }
    if (!aWorkspace.mDefaultClass.empty() &&
        !mPolicy.mClasses.contains(aWorkspace.mDefaultClass)) {
      AddFault(path + ".default_class",
               "there is no class " + aWorkspace.mDefaultClass);
    }
    CheckLabels(path,
                aWorkspace.mLabels,
                { "workspace", "class", "model", "service", "data_centre" });
  }

  void CheckName(const std::string& aPath, const std::string& aName)
  {
    if (!IsValidName(aName)) {
      AddFault(aPath + ".name",
               "must be 1 to 128 letters, digits or any of -_.:/@+");
    }
  }

  void CheckLabels(const std::string& aPath,
                   const Labels& aLabels,
                   const std::vector<std::string_view>& aReserved)
  {
    for (const auto& [key, value] : aLabels) {
      const std::string path =
        std::string(aPath).append(".labels.").append(key);
      if (!IsValidName(key)) {
        AddFault(path,
                 "a key must be 1 to 128 letters, digits or any of -_.:/@+");
      }
      if (!IsValidValue(value)) {
        AddFault(path,
                 "a value must be at most 256 characters without a comma");
      }
      if (std::find(aReserved.begin(), aReserved.end(), key) !=
          aReserved.end()) {
        AddFault(path, "is set by the system itself");
      }
    }
  }

  void CheckRequirements(const std::string& aPath,
                         const std::vector<Requirement>& aRequirements)
  {
    size_t index = 0;
    for (const Requirement& requirement : aRequirements) {
      const std::string path = aPath + "[" + std::to_string(index++) + "]";
      if (!IsValidName(requirement.mKey)) {
        AddFault(path + ".key",
                 "must be 1 to 128 letters, digits or any of "
                 "-_.:/@+");
      }
      CheckValues(path + ".values", requirement);
    }
  }

  void CheckValues(const std::string& aPath, const Requirement& aRequirement)
  {
    const size_t count = aRequirement.mValues.size();
    switch (aRequirement.mOperator) {
      case RequirementOperator::Equals:
      case RequirementOperator::NotEquals:
        if (count != 1) {
          AddFault(aPath, "must have one value for equals and not_equals");
        }
        return;
      case RequirementOperator::In:
      case RequirementOperator::NotIn:
        if (count == 0) {
          AddFault(aPath, "must have a value for in and not_in");
        }
        return;
      case RequirementOperator::Exists:
      case RequirementOperator::NotExists:
        if (count != 0) {
          AddFault(aPath, "must be empty for exists and not_exists");
        }
        return;
    }
  }

  void AddFault(std::string aField, std::string aReason)
  {
    mFaults.push_back({ std::move(aField), std::move(aReason) });
  }

  const Policy& mPolicy;
  PolicyFaults mFaults;
};

} // namespace

PolicyFaults
ValidatePolicy(const Policy& aPolicy)
{
  return PolicyValidator(aPolicy).Validate();
}

PolicyFaults
ValidateChange(const PolicyChange& aChange)
{
  PolicyFaults faults;
  if (!IsValidName(aChange.mId) || aChange.mId.size() > kMaxChangeIdLength) {
    faults.push_back(
      { "id", "must be 1 to 100 letters, digits or any of -_.:/@+" });
  }
  if (!IsValidValue(aChange.mAuthor)) {
    faults.push_back(
      { "author", "must be at most 256 characters without a comma" });
  }
  if (aChange.mOperations.empty()) {
    faults.push_back({ "operations", "must have at least one operation" });
  }
  return faults;
}

} // namespace trefoilarch
