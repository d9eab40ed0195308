#pragma once

#include "dutyreceiver.h"

#include "libtrefoilarch/singletonduty.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dutymodel {

constexpr size_t kHosts = 3;
constexpr trefoilarch::Millis kSecond{ 1000 };
constexpr trefoilarch::Millis kLease{ 3000 };

/** The rows of the store; its clock is the model's time. */
struct Store
{
  uint64_t mVersion = 1;
  uint64_t mEra = 1;
  std::map<std::string, trefoilarch::DutyRow> mRows;
};

/** A write whose reply never comes; it may still take effect. */
using LateWrite = trefoilarch::WriteDutyRows;

struct Call
{
  trefoilarch::CallReceiver mCall;
  /** When it was sent; empty while the connection is made. */
  std::optional<trefoilarch::Millis> mSentAt;
  bool mArrived = false;
};

struct Host
{
  std::optional<trefoilarch::SingletonDuty> mDuty;
  int mProcess = 0;
  bool mFrozen = false;
  std::optional<
    std::variant<trefoilarch::ReadDutyRows, trefoilarch::WriteDutyRows>>
    mStoreCall;
  std::optional<Call> mCall;
};

struct World
{
  trefoilarch::Millis mNow;
  Store mStore;
  /** The copy that the store may come back from. */
  std::optional<Store> mCopy;
  std::array<Host, kHosts> mHosts;
  std::vector<LateWrite> mLateWrites;
  Receiver mReceiver;
  int mCrashes = 0;
  int mFreezes = 0;
  int mLostReplies = 0;
  int mLateCount = 0;
  int mLostCalls = 0;
  int mStops = 0;
  int mRestores = 0;
  uint64_t mTakeovers = 0;
};

/** "a", "b" and so on. */
std::string
NameOf(size_t aHost);

/** Equal for worlds with the same future. */
uint64_t
HashOf(const World& aWorld);

} // namespace dutymodel
