#include "requestfingerprint.h"

#include "ids.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <xxhash.h>

namespace trefoilarch {

namespace {

struct FreeState
{
  void operator()(XXH3_state_t* aState) const { XXH3_freeState(aState); }
};

/** "segment" in ASCII: the upper half of all fingerprints of segments. */
constexpr uint64_t kSegmentTag = 0x7365676d656e7400;

using State = std::unique_ptr<XXH3_state_t, FreeState>;

/** Adds the part, preceded by its length so that different lists of parts never
 * hash alike. Little-endian on every host. */
void
Add(const State& aState, std::string_view aPart)
{
  constexpr size_t kBits = 8;
  unsigned char length[sizeof(uint64_t)];
  for (size_t each = 0; each < sizeof(length); ++each) {
    length[each] =
      static_cast<unsigned char>(uint64_t{ aPart.size() } >> (kBits * each));
  }
  XXH3_128bits_update(aState.get(), length, sizeof(length));
  XXH3_128bits_update(aState.get(), aPart.data(), aPart.size());
}

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return text;
}

} // namespace

RequestFingerprint
RequestFingerprint::Of(const RequestIdentity& aRequest)
{
  const State state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  Add(state, aRequest.mMethod);
  Add(state, LowerCase(aRequest.mHost));
  Add(state, aRequest.mTarget);
  Add(state, aRequest.mWorkspace);
  Add(state, aRequest.mBody);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return { .mHigh = hash.high64, .mLow = hash.low64 };
}

RequestFingerprint
RequestFingerprint::OfSegment(uint64_t aId)
{
  return { .mHigh = kSegmentTag, .mLow = aId };
}

bool
RequestFingerprint::IsSegment() const
{
  return mHigh == kSegmentTag;
}

std::string
RequestFingerprint::Text() const
{
  return RequestId{ .mHigh = mHigh, .mLow = mLow }.Text();
}

RequestFingerprint
RequestFingerprint::FromText(std::string_view aText)
{
  const RequestId id = RequestId::FromText(aText);
  return { .mHigh = id.mHigh, .mLow = id.mLow };
}

} // namespace trefoilarch
