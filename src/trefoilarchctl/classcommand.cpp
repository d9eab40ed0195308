#include "command.h"

#include "commandline.h"
#include "objectcommand.h"
#include "requirementtext.h"

namespace trefoilarchctl {

namespace {

using nlohmann::json;

std::string
Number(const json& aObject, const char* aMember)
{
  return aObject.contains(aMember) ? aObject[aMember].dump() : "";
}

std::vector<std::string>
Row(const json& aClass)
{
  return { aClass.value("name", ""),
           Number(aClass, "tier"),
           Number(aClass, "floor"),
           Number(aClass, "first_token_ms"),
           Number(aClass, "between_token_ms"),
           Number(aClass, "deadline_ms"),
           Number(aClass, "idempotent"),
           RequirementsToText(aClass.value("callers", json::array())) };
}

const ObjectKind&
Kind()
{
  static const ObjectKind kKind{
    .mName = "class",
    .mPlural = "classes",
    .mColumns = { "CLASS",
                  "TIER",
                  "FLOOR",
                  "FIRST TOKEN MS",
                  "BETWEEN MS",
                  "DEADLINE MS",
                  "IDEMPOTENT",
                  "CALLERS" },
    .mRow = &Row,
  };
  return kKind;
}

/** The flags of `class set`; omitted flags leave the class unchanged. */
struct ClassFlags
{
  explicit ClassFlags(TCLAP::CmdLine& aLine)
    : mName("name", "which class", true, "", "NAME", aLine)
    , mTier("", "tier", "0 is the highest", false, 0, "TIER", aLine)
    , mFloor("", "floor", "sure share", false, 0, "SHARE", aLine)
    , mFirst("", "first-token-ms", "target", false, 0, "MS", aLine)
    , mBetween("", "between-token-ms", "target of it", false, 0, "MS", aLine)
    , mDeadline("", "deadline-ms", "for the whole", false, 0, "MS", aLine)
    , mIdempotent("",
                  "idempotent",
                  "by default",
                  false,
                  "",
                  &mBoolConstraint,
                  aLine)
    , mCallers("", "caller", "who may ask", false, "REQUIREMENT", aLine)
    , mAnyCaller("", "any-caller", "everybody may ask", aLine)
  {
  }

  void Apply(json& aClass) const
  {
    SetIfGiven(aClass, "tier", mTier);
    SetIfGiven(aClass, "floor", mFloor);
    SetIfGiven(aClass, "first_token_ms", mFirst);
    SetIfGiven(aClass, "between_token_ms", mBetween);
    SetIfGiven(aClass, "deadline_ms", mDeadline);
    if (mIdempotent.isSet()) {
      aClass["idempotent"] = mIdempotent.getValue() == "true";
    }
    if (mCallers.isSet()) {
      aClass["callers"] = RequirementsFromTexts(mCallers.getValue());
    } else if (mAnyCaller.getValue()) {
      aClass["callers"] = json::array();
    }
  }

  TCLAP::UnlabeledValueArg<std::string> mName;

private:
  template<typename T>
  static void SetIfGiven(json& aClass,
                         const char* aMember,
                         const TCLAP::ValueArg<T>& aFlag)
  {
    if (aFlag.isSet()) {
      aClass[aMember] = aFlag.getValue();
    }
  }

  std::vector<std::string> mChoices{ "true", "false" };
  TCLAP::ValuesConstraint<std::string> mBoolConstraint{ mChoices };
  TCLAP::ValueArg<int64_t> mTier;
  TCLAP::ValueArg<double> mFloor;
  TCLAP::ValueArg<int64_t> mFirst;
  TCLAP::ValueArg<int64_t> mBetween;
  TCLAP::ValueArg<int64_t> mDeadline;
  TCLAP::ValueArg<std::string> mIdempotent;
  TCLAP::MultiArg<std::string> mCallers;
  TCLAP::SwitchArg mAnyCaller;
};

ExitCode
Set(const std::vector<std::string>& aArguments)
{
  CommandLine line("class set");
  ClassFlags flags(line.Line());
  line.Parse(aArguments);
  return SetObject(Kind(), line, flags.mName.getValue(), [&](json& aClass) {
    flags.Apply(aClass);
  });
}

} // namespace

ExitCode
RunClass(const std::vector<std::string>& aArguments)
{
  return RunObject(Kind(), aArguments, &Set);
}

} // namespace trefoilarchctl
