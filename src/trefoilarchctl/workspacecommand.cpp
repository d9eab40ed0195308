#include "command.h"

#include "commandline.h"
#include "objectcommand.h"
#include "output.h"
#include "usageerror.h"

#include <openssl/sha.h>

#include <array>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

std::string
LabelsToText(const json& aLabels)
{
  std::string text;
  for (const auto& [key, value] : aLabels.items()) {
    text += (text.empty() ? "" : ",") + key + "=" + value.get<std::string>();
  }
  return text;
}

std::vector<std::string>
Row(const json& aWorkspace)
{
  const bool hasToken = !aWorkspace.value("token_sha256", "").empty();
  return { aWorkspace.value("name", ""),
           aWorkspace.value("default_class", ""),
           aWorkspace.contains("weight") ? aWorkspace["weight"].dump() : "",
           hasToken ? "yes" : "no",
           LabelsToText(aWorkspace.value("labels", json::object())) };
}

const ObjectKind&
Kind()
{
  static const ObjectKind kKind{
    .mName = "workspace",
    .mPlural = "workspaces",
    .mColumns = { "WORKSPACE", "DEFAULT CLASS", "WEIGHT", "TOKEN", "LABELS" },
    .mRow = &Row,
  };
  return kKind;
}

std::string
Sha256(const std::string& aText)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         hash.data());
  std::string text;
  for (const unsigned char byte : hash) {
    text += digits[byte >> 4];
    text += digits[byte & 0xf];
  }
  return text;
}

/** Hashes a token file without its trailing line ends. */
std::string
HashTokenFile(const std::string& aFile)
{
  std::string token = ReadInput(aFile);
  while (token.ends_with('\n') || token.ends_with('\r')) {
    token.pop_back();
  }
  if (token.empty()) {
    throw UsageError(aFile + " contains no token");
  }
  return Sha256(token);
}

void
SetLabel(json& aLabels, const std::string& aText)
{
  const size_t equals = aText.find('=');
  if (equals == 0 || equals == std::string::npos) {
    throw UsageError("a label is KEY=VALUE, not \"" + aText + "\"");
  }
  aLabels[aText.substr(0, equals)] = aText.substr(equals + 1);
}

/** The flags of `workspace set`; omitted flags leave it unchanged. */
struct WorkspaceFlags
{
  explicit WorkspaceFlags(TCLAP::CmdLine& aLine)
    : mName("name", "which workspace", true, "", "NAME", aLine)
    , mWeight("", "weight", "share among others", false, 1, "WEIGHT", aLine)
    , mClass("", "default-class", "unless asked", false, "", "CLASS", aLine)
    , mFile("", "token-file", "file with the token", false, "", "FILE", aLine)
    , mHash("", "token-sha256", "of the token", false, "", "HASH", aLine)
    , mNoToken("", "no-token", "needs no token", aLine)
    , mLabels("", "label", "sets a label", false, "KEY=VALUE", aLine)
    , mUnlabels("", "unlabel", "takes one away", false, "KEY", aLine)
  {
  }

  void Apply(json& aWorkspace) const
  {
    if (mWeight.isSet()) {
      aWorkspace["weight"] = mWeight.getValue();
    }
    if (mClass.isSet()) {
      aWorkspace["default_class"] = mClass.getValue();
    }
    ApplyToken(aWorkspace);
    ApplyLabels(aWorkspace);
  }

  TCLAP::UnlabeledValueArg<std::string> mName;

private:
  void ApplyToken(json& aWorkspace) const
  {
    if (mFile.isSet() + mHash.isSet() + mNoToken.isSet() > 1) {
      throw UsageError(
        "--token-file, --token-sha256 and --no-token exclude each other");
    }
    if (mFile.isSet()) {
      aWorkspace["token_sha256"] = HashTokenFile(mFile.getValue());
    } else if (mHash.isSet()) {
      aWorkspace["token_sha256"] = mHash.getValue();
    } else if (mNoToken.isSet()) {
      aWorkspace["token_sha256"] = "";
    }
  }

  void ApplyLabels(json& aWorkspace) const
  {
    json labels = aWorkspace.value("labels", json::object());
    for (const std::string& text : mLabels.getValue()) {
      SetLabel(labels, text);
    }
    for (const std::string& key : mUnlabels.getValue()) {
      labels.erase(key);
    }
    aWorkspace["labels"] = std::move(labels);
  }

  TCLAP::ValueArg<double> mWeight;
  TCLAP::ValueArg<std::string> mClass;
  TCLAP::ValueArg<std::string> mFile;
  TCLAP::ValueArg<std::string> mHash;
  TCLAP::SwitchArg mNoToken;
  TCLAP::MultiArg<std::string> mLabels;
  TCLAP::MultiArg<std::string> mUnlabels;
};

ExitCode
Set(const std::vector<std::string>& aArguments)
{
  CommandLine line("workspace set");
  WorkspaceFlags flags(line.Line());
  line.Parse(aArguments);
  return SetObject(Kind(), line, flags.mName.getValue(), [&](json& aWorkspace) {
    flags.Apply(aWorkspace);
  });
}

} // namespace

ExitCode
RunWorkspace(const std::vector<std::string>& aArguments)
{
  return RunObject(Kind(), aArguments, &Set);
}

} // namespace trefoilarchctl
