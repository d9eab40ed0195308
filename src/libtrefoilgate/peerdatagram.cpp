#include "peerdatagram.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the kind of message and its version. */
constexpr const char* kFormat = "trefoil-notes-1";

/** What one datagram may hold, so that no link has to split it. */
constexpr size_t kMostPending = 48;
constexpr size_t kMostSent = 16;
constexpr size_t kMostParts = 16;

/** More tokens than any engine holds are a mistake. */
constexpr uint64_t kMostTokens = 1000000000;

Json
PendingOf(const PeerNotes& aNotes)
{
  Json pending = Json::array();
  for (const PendingRead& each : aNotes.mPending) {
    if (pending.size() < kMostPending) {
      Json reads = Json::array({ each.mUpstream });
      for (uint8_t urgency = 0; urgency < PendingReads::kUrgencies; ++urgency) {
        reads.push_back(each.mReads.Of(urgency));
      }
      pending.push_back(std::move(reads));
    }
  }
  return pending;
}

Json
SentOf(const PeerNotes& aNotes)
{
  Json sent = Json::array();
  for (const SentPrompt& each : aNotes.mSent) {
    if (sent.size() < kMostSent) {
      sent.push_back({ each.mUpstream, each.mParts, each.mTokens });
    }
  }
  return sent;
}

bool
IsCount(const Json& aValue)
{
  return aValue.is_number_unsigned();
}

bool
IsTokens(const Json& aValue)
{
  return IsCount(aValue) && aValue.get<uint64_t>() <= kMostTokens;
}

bool
IsPending(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 1 + PendingReads::kUrgencies &&
         aValue[0].is_string() &&
         std::all_of(aValue.begin() + 1, aValue.end(), IsTokens);
}

bool
IsSent(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 && aValue[0].is_string() &&
         aValue[1].is_array() && aValue[1].size() <= kMostParts &&
         std::all_of(aValue[1].begin(), aValue[1].end(), IsCount) &&
         IsTokens(aValue[2]);
}

bool
AreNotes(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 6 && aValue[0] == kFormat &&
         aValue[1].is_string() && IsCount(aValue[2]) && IsCount(aValue[3]) &&
         aValue[4].is_array() &&
         std::all_of(aValue[4].begin(), aValue[4].end(), IsPending) &&
         aValue[5].is_array() &&
         std::all_of(aValue[5].begin(), aValue[5].end(), IsSent);
}

} // namespace

std::vector<uint8_t>
EncodeNotes(const PeerNotes& aNotes)
{
  return Json::to_msgpack(Json::array({ kFormat,
                                        aNotes.mFrom,
                                        aNotes.mProcess,
                                        aNotes.mSequence,
                                        PendingOf(aNotes),
                                        SentOf(aNotes) }));
}

std::optional<PeerNotes>
DecodeNotes(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!AreNotes(json)) {
    return std::nullopt;
  }
  PeerNotes notes{ .mFrom = json[1].get<std::string>(),
                   .mProcess = json[2].get<uint64_t>(),
                   .mSequence = json[3].get<uint64_t>() };
  for (const Json& each : json[4]) {
    PendingRead pending{ .mUpstream = each[0].get<std::string>() };
    for (uint8_t urgency = 0; urgency < PendingReads::kUrgencies; ++urgency) {
      pending.mReads.Add(urgency, each[1 + urgency].get<uint64_t>());
    }
    notes.mPending.push_back(std::move(pending));
  }
  for (const Json& each : json[5]) {
    notes.mSent.push_back({ .mUpstream = each[0].get<std::string>(),
                            .mParts = each[1].get<std::vector<uint64_t>>(),
                            .mTokens = each[2].get<uint32_t>() });
  }
  return notes;
}

} // namespace trefoilgate
