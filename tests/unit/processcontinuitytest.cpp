#include "libtrefoilarch/processcontinuity.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

Test(processcontinuity, an_acceptance_after_the_end_proves_the_process)
{
  ProcessContinuity process(Millis(1000));
  cr_expect(!process.IsProven(Millis(1000)));
  process.OnAccepted(Millis(1200), Millis(1202));
  cr_expect(process.IsProven(Millis(1200)));
  cr_expect(!process.IsProven(Millis(1201)));
}

Test(processcontinuity, observations_without_a_gap_prove_a_long_answer)
{
  ProcessContinuity process(Millis(0));
  for (int64_t at = 200; at <= 15000; at += 200) {
    process.OnAccepted(Millis(at), Millis(at + 250));
    cr_expect(!process.IsLost(Millis(at + 250)));
  }
  cr_expect(process.IsProven(Millis(15000)));
}

// The process had crashed and was back when a cut link healed.
Test(processcontinuity, a_successor_is_not_taken_for_the_process)
{
  ProcessContinuity process(Millis(1000));
  process.OnAccepted(Millis(1200), Millis(1490));
  cr_expect(process.IsProven(Millis(1200)));
  process.OnAccepted(Millis(1600), Millis(1700));
  cr_expect(process.IsLost(Millis(1700)));
  process.OnAccepted(Millis(1800), Millis(1801));
  cr_expect(process.IsLost(Millis(1801)));
  cr_expect(!process.IsProven(Millis(1600)));
}

Test(processcontinuity, a_refusal_ends_the_process_for_good)
{
  ProcessContinuity process(Millis(1000));
  process.OnRefused();
  process.OnAccepted(Millis(1100), Millis(1101));
  cr_expect(process.HasEnded());
  cr_expect(process.IsLost(Millis(1101)));
  cr_expect(!process.IsProven(Millis(1000)));
}
