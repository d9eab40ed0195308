#include "answermailbox.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace trefoilarch;

namespace {

constexpr size_t kUnread = 1000;

AnswerData
Data(size_t aBytes)
{
  return { .mData = std::string(aBytes, 'd') };
}

/** Adds a block of 10 bytes, which the reader holds then. */
bool
Grow(AnswerMailbox& aMailbox)
{
  const bool added = aMailbox.Push(Data(10)) == PushOutcome::Added;
  aMailbox.PopFor(Millis(0));
  return added;
}

} // namespace

// Answers that were collected for their callers had no bound.
Test(answermailbox, endless_answers_leave_room_for_others)
{
  const auto budget = std::make_shared<AnswerBudget>(1000);
  std::vector<std::unique_ptr<AnswerMailbox>> endless;
  constexpr size_t kEndless = 9;
  endless.reserve(kEndless);
  for (size_t each = 0; each < kEndless; ++each) {
    endless.push_back(std::make_unique<AnswerMailbox>(kUnread, budget));
  }
  bool grows = true;
  while (grows) {
    grows = false;
    for (const auto& each : endless) {
      grows = Grow(*each) || grows;
    }
  }
  cr_expect(budget->TotalBytes() <= 900);
  AnswerMailbox one(kUnread, budget);
  cr_expect(one.Push(Data(100)) == PushOutcome::Added);
  endless.clear();
  cr_expect(budget->TotalBytes() == 100);
}

Test(answermailbox, bytes_that_are_no_longer_held_are_released)
{
  const auto budget = std::make_shared<AnswerBudget>(1000);
  AnswerMailbox mailbox(kUnread, budget);
  for (int each = 0; each < 50; ++each) {
    cr_assert(mailbox.Push(Data(400)) == PushOutcome::Added);
    mailbox.PopFor(Millis(0));
    mailbox.Release(400);
  }
  cr_expect(budget->TotalBytes() == 0);
  cr_expect(mailbox.Push(Data(400)) == PushOutcome::Added);
  mailbox.Abandon();
  cr_expect(budget->TotalBytes() == 0);
  cr_expect(mailbox.Push(Data(1)) == PushOutcome::ReaderGone);
}

Test(answermailbox, a_failed_answer_ends_at_once)
{
  const auto budget = std::make_shared<AnswerBudget>(1000);
  AnswerMailbox mailbox(kUnread, budget);
  mailbox.Push(Data(400));
  mailbox.Fail({ .mRefusal = { .mKind = ErrorKind::AnswerCut } });
  const auto event = mailbox.PopFor(Millis(0));
  cr_assert(event.has_value());
  cr_expect(std::holds_alternative<AnswerError>(*event));
  cr_expect(budget->TotalBytes() == 0);
}

Test(answermailbox, a_reader_too_far_behind_is_told_apart)
{
  const auto budget = std::make_shared<AnswerBudget>(100000);
  AnswerMailbox mailbox(kUnread, budget);
  cr_expect(mailbox.Push(Data(kUnread)) == PushOutcome::Added);
  cr_expect(mailbox.Push(Data(1)) == PushOutcome::Unread);
}
