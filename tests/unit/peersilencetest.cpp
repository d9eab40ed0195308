#include "libtrefoilarch/peersilence.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

Test(peersilence, two_entries_have_to_say_so)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("a", Millis(100), Millis(1100));
  cr_expect(silence.Silence(Millis(1100)) == Millis(0));
  silence.OnPeerReport("b", Millis(300), Millis(1200));
  cr_expect(silence.Silence(Millis(1200)) == Millis(900), "since the later");
}

Test(peersilence, an_answer_to_anybody_ends_it)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("b", Millis(100), Millis(600));
  silence.OnAnswered();
  cr_expect(silence.Silence(Millis(700)) == Millis(0));
  silence.OnPeerReport("a", Millis(100), Millis(800));
  cr_expect(silence.Silence(Millis(800)) == Millis(0));
}

Test(peersilence, what_is_not_told_any_more_is_over)
{
  PeerSilence silence;
  silence.OnPeerReport("a", Millis(100), Millis(600));
  silence.OnPeerReport("b", Millis(100), Millis(900));
  cr_expect(silence.Silence(Millis(2400)) > Millis(0));
  cr_expect(silence.Silence(Millis(2600)) == Millis(0));
  silence.OnPeerReport("c", Millis(2000), Millis(2700));
  cr_expect(silence.Silence(Millis(2700)) == Millis(700), "b and c");
}
