#include "libtrefoilarch/peersilence.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

Test(peersilence, two_entries_have_to_report_it)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("a", Millis(100), Millis(1100));
  cr_expect(silence.Silence(Millis(1100)) == Millis(0));
  silence.OnPeerReport("b", Millis(300), Millis(1200));
  cr_expect(silence.Silence(Millis(1200)) == Millis(900),
            "since the later start");
}

Test(peersilence, a_response_to_any_entry_ends_it)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("b", Millis(100), Millis(600));
  silence.OnAnswered();
  cr_expect(silence.Silence(Millis(700)) == Millis(0));
  silence.OnPeerReport("a", Millis(100), Millis(800));
  cr_expect(silence.Silence(Millis(800)) == Millis(0));
}

Test(peersilence, a_silence_that_is_no_longer_reported_has_ended)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("b", Millis(100), Millis(900));
  cr_expect(silence.Silence(Millis(2400)) > Millis(0));
  cr_expect(silence.Silence(Millis(2600)) == Millis(0));
  silence.OnPeerReport("c", Millis(2000), Millis(2700));
  cr_expect(silence.Silence(Millis(2700)) == Millis(700), "b and c");
}
