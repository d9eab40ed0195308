#include "libtrefoilio/settings.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace trefoilio;

namespace {

SettingsOutcome
Read(std::vector<const char*> aArguments,
     std::map<std::string, std::string> aEnvironment = {})
{
  const SettingsReader reader(
    "trefoilarchd",
    "a test",
    { { .mName = "listen",
        .mHelp = "where",
        .mRequired = true,
        .mCheck = NumericEndpoint() },
      { .mName = "most-open",
        .mHelp = "how many",
        .mDefault = "10",
        .mCheck = IntegerBetween(1, 100) },
      { .mName = "labels", .mHelp = "pairs", .mCheck = LabelList() },
      { .mName = "role",
        .mHelp = "which",
        .mDefault = "entry",
        .mCheck = OneOf({ "entry", "sidecar" }) } });
  aArguments.insert(aArguments.begin(), "trefoilarchd");
  return reader.Read(static_cast<int>(aArguments.size()),
                     aArguments.data(),
                     [&](const char* aName) -> const char* {
                       const auto found = aEnvironment.find(aName);
                       return found == aEnvironment.end()
                                ? nullptr
                                : found->second.c_str();
                     });
}

bool
HasFault(const SettingsOutcome& aOutcome, const std::string& aText)
{
  return std::ranges::any_of(aOutcome.mFaults, [&](const std::string& aFault) {
    return aFault.find(aText) != std::string::npos;
  });
}

} // namespace

Test(settings, flag_wins_over_variable_and_default)
{
  const SettingsOutcome outcome =
    Read({ "--listen", "127.0.0.1:0", "--labels=model=base,a=" },
         { { "TREFOILARCH_LISTEN", "10.0.0.1:80" },
           { "TREFOILARCH_MOST_OPEN", "7" } });
  cr_assert(outcome.mSettings);
  cr_assert(outcome.mSettings->Text("listen") == "127.0.0.1:0");
  cr_assert(outcome.mSettings->Integer("most-open") == 7);
  cr_assert(outcome.mSettings->Text("role") == "entry");
  const std::map<std::string, std::string> labels{ { "a", "" },
                                                   { "model", "base" } };
  cr_assert(outcome.mSettings->LabelMap("labels") == labels);
  cr_assert(!outcome.mSettings->CheckOnly());
}

Test(settings, all_faults_are_listed_with_flag_and_range)
{
  const SettingsOutcome outcome =
    Read({ "--most-open", "101", "--bogus", "--labels", "=x", "--check" },
         { { "TREFOILARCH_ROLE", "king" } });
  cr_assert(!outcome.mSettings);
  cr_assert(HasFault(outcome, "--listen must be given"));
  cr_assert(HasFault(outcome, "--most-open must be an integer from 1 to 100"));
  cr_assert(HasFault(outcome, "--bogus"));
  cr_assert(HasFault(outcome, "--labels must be key=value"));
  cr_assert(
    HasFault(outcome, "(TREFOILARCH_ROLE) must be one of entry sidecar"));
  cr_assert(outcome.mFaults.size() == 5);
  cr_assert(Read({ "--listen=127.0.0.1:0", "--labels=" }).mSettings);
  cr_assert(HasFault(Read({ "--listen" }), "--listen"));
  cr_assert(HasFault(Read({ "--role", "entry", "--role", "entry" }), "--role"));
}

Test(settings, endpoints_are_numeric)
{
  const auto check = NumericEndpoint();
  for (const char* good : { "127.0.0.1:0", "[::1]:65535", "0.0.0.0:80" }) {
    cr_assert(check(good).empty(), "%s", good);
  }
  for (const char* bad : { "localhost:80",
                           "127.0.0.1",
                           "127.0.0.256:1",
                           "1.2.3:4",
                           "1.2.3.4:65536",
                           "1.2.3.4:-1",
                           "1..2.3:4",
                           "::1:80",
                           "" }) {
    cr_assert(!check(bad).empty(), "%s", bad);
  }
  cr_assert(HttpUrl()("http://127.0.0.1:80/a").empty());
  cr_assert(!HttpUrl()("https://127.0.0.1:80").empty());
  cr_assert(!HttpUrl()("http://example:80").empty());
}

Test(settings, check_version_and_help_are_supported)
{
  const SettingsOutcome check = Read({ "--listen", "127.0.0.1:1", "--check" });
  cr_assert(check.mSettings && check.mSettings->CheckOnly());
  cr_assert(*Read({ "--version" }).mText == "trefoilarchd 0.1.0\n");
  cr_assert(Read({ "--help" }).mText->find("TREFOILARCH_MOST_OPEN") !=
            std::string::npos);
}
