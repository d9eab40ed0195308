#pragma once

namespace trefoilarch {

constexpr int kMinHttpStatus = 100;
constexpr int kMinFinalHttpStatus = 200;
constexpr int kMaxHttpStatus = 599;

/** Whether the status is one of RFC 9110; another one makes an answer
 * malformed. */
constexpr bool
IsHttpStatus(int aStatus)
{
  return aStatus >= kMinHttpStatus && aStatus <= kMaxHttpStatus;
}

/** Whether it is, and belongs to a final answer, not to an interim one. */
constexpr bool
IsFinalHttpStatus(int aStatus)
{
  return IsHttpStatus(aStatus) && aStatus >= kMinFinalHttpStatus;
}

} // namespace trefoilarch
