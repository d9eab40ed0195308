#include "libtrefoilarch/requestfingerprint.h"

#include <criterion/criterion.h>

#include <string>

using namespace trefoilarch;

namespace {

constexpr RequestIdentity kRequest{ .mMethod = "POST",
                                    .mHost = "svc.example",
                                    .mTarget = "/safe/x?y=1",
                                    .mWorkspace = "desk",
                                    .mBody = "body" };

} // namespace

/** Entries of all versions have to calculate the same value, so the value
 * itself is tested. */
Test(requestfingerprint, is_the_same_in_every_version)
{
  const std::string text = RequestFingerprint::Of(kRequest).Text();
  cr_expect(text == "2e931a5e89f733e06676b2a47668df30", "%s", text.c_str());
}

Test(requestfingerprint, differs_with_each_attribute_of_the_request)
{
  const RequestFingerprint fingerprint = RequestFingerprint::Of(kRequest);
  RequestIdentity other = kRequest;
  other.mMethod = "PUT";
  cr_expect(RequestFingerprint::Of(other) != fingerprint);
  other = kRequest;
  other.mHost = "other.example";
  cr_expect(RequestFingerprint::Of(other) != fingerprint);
  other = kRequest;
  other.mTarget = "/safe/x?y=2";
  cr_expect(RequestFingerprint::Of(other) != fingerprint);
  other = kRequest;
  other.mWorkspace = "public";
  cr_expect(RequestFingerprint::Of(other) != fingerprint);
  other = kRequest;
  other.mBody = "";
  cr_expect(RequestFingerprint::Of(other) != fingerprint);
}

Test(requestfingerprint, depends_on_the_boundaries_between_parts)
{
  RequestIdentity one = kRequest;
  one.mWorkspace = "de";
  one.mBody = "skbody";
  cr_expect(RequestFingerprint::Of(one) != RequestFingerprint::Of(kRequest));
}

Test(requestfingerprint, ignores_the_case_of_the_host)
{
  RequestIdentity other = kRequest;
  other.mHost = "SVC.example";
  cr_expect(RequestFingerprint::Of(other) == RequestFingerprint::Of(kRequest));
}

Test(requestfingerprint, is_parsed_from_its_text)
{
  const RequestFingerprint fingerprint = RequestFingerprint::Of(kRequest);
  cr_expect(RequestFingerprint::FromText(fingerprint.Text()) == fingerprint);
  cr_expect(RequestFingerprint::FromText("no fingerprint") ==
            RequestFingerprint{});
}
