#include "policyvalidation.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace trefoilarch {

namespace {

constexpr size_t kLongestName = 128;
constexpr size_t kLongestValue = 256;
constexpr size_t kLongestChangeId = 100;
constexpr size_t kHashDigits = 64;
/** Rounding of the sum of shares that are given as decimals. */
constexpr double kFloorSlack = 1e-9;

/** Letters, digits and a few marks: safe in paths, labels and logs. */
bool
GoodName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kLongestName &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 ||
                  std::string_view("-_.:/@+").find(static_cast<char>(aChar)) !=
                    std::string_view::npos;
         });
}

bool
GoodValue(std::string_view aValue)
{
  return aValue.size() <= kLongestValue &&
         std::none_of(aValue.begin(), aValue.end(), [](unsigned char aChar) {
           return std::iscntrl(aChar) != 0 || aChar == ',';
         });
}

bool
GoodHash(std::string_view aHash)
{
  return aHash.empty() ||
         (aHash.size() == kHashDigits &&
          std::all_of(aHash.begin(), aHash.end(), [](unsigned char aChar) {
            return (aChar >= '0' && aChar <= '9') ||
                   (aChar >= 'a' && aChar <= 'f');
          }));
}

/** Checks one policy and collects its faults. */
class PolicyValidator
{
public:
  explicit PolicyValidator(const Policy& aPolicy)
    : mPolicy(aPolicy)
  {
  }

  PolicyFaults Run()
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
    for (const auto& [name, one] : mPolicy.mClasses) {
      const std::string path = "classes[" + name + "]";
      CheckName(path, name);
      CheckRequirements(path + ".callers", one.mCallers);
      floors += one.mFloor;
      if (floors > 1 + kFloorSlack) {
        Add(path + ".floor", "the floors of all classes add up to more than 1");
        floors -= one.mFloor;
      }
    }
  }

  void CheckWorkspace(const std::string& aName, const Workspace& aOne)
  {
    const std::string path = "workspaces[" + aName + "]";
    CheckName(path, aName);
    if (!GoodHash(aOne.mTokenHash)) {
      Add(path + ".token_sha256",
          "must be empty or 64 lower-case hexadecimal digits");
    }
    if (!aOne.mDefaultClass.empty() &&
        !mPolicy.mClasses.contains(aOne.mDefaultClass)) {
      Add(path + ".default_class", "there is no class " + aOne.mDefaultClass);
    }
    CheckLabels(path,
                aOne.mLabels,
                { "workspace", "class", "model", "service", "data_centre" });
  }

  void CheckName(const std::string& aPath, const std::string& aName)
  {
    if (!GoodName(aName)) {
      Add(aPath + ".name",
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
      if (!GoodName(key)) {
        Add(path, "a key must be 1 to 128 letters, digits or any of -_.:/@+");
      }
      if (!GoodValue(value)) {
        Add(path, "a value must be at most 256 characters without a comma");
      }
      if (std::find(aReserved.begin(), aReserved.end(), key) !=
          aReserved.end()) {
        Add(path, "is set by the system itself");
      }
    }
  }

  void CheckRequirements(const std::string& aPath,
                         const std::vector<Requirement>& aAll)
  {
    size_t place = 0;
    for (const Requirement& one : aAll) {
      const std::string path = aPath + "[" + std::to_string(place++) + "]";
      if (!GoodName(one.mKey)) {
        Add(path + ".key",
            "must be 1 to 128 letters, digits or any of "
            "-_.:/@+");
      }
      CheckValues(path + ".values", one);
    }
  }

  void CheckValues(const std::string& aPath, const Requirement& aOne)
  {
    const size_t count = aOne.mValues.size();
    switch (aOne.mOperator) {
      case RequirementOperator::Equals:
      case RequirementOperator::NotEquals:
        if (count != 1) {
          Add(aPath, "must have one value for equals and not_equals");
        }
        return;
      case RequirementOperator::In:
      case RequirementOperator::NotIn:
        if (count == 0) {
          Add(aPath, "must have a value for in and not_in");
        }
        return;
      case RequirementOperator::Exists:
      case RequirementOperator::NotExists:
        if (count != 0) {
          Add(aPath, "must be empty for exists and not_exists");
        }
        return;
    }
  }

  void Add(std::string aField, std::string aReason)
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
  return PolicyValidator(aPolicy).Run();
}

PolicyFaults
ValidateChange(const PolicyChange& aChange)
{
  PolicyFaults faults;
  if (!GoodName(aChange.mId) || aChange.mId.size() > kLongestChangeId) {
    faults.push_back(
      { "id", "must be 1 to 100 letters, digits or any of -_.:/@+" });
  }
  if (!GoodValue(aChange.mAuthor)) {
    faults.push_back(
      { "author", "must be at most 256 characters without a comma" });
  }
  if (aChange.mOperations.empty()) {
    faults.push_back({ "operations", "must have at least one operation" });
  }
  return faults;
}

} // namespace trefoilarch
