#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace standin {

/** What came of an order. */
enum class OrderOutcome
{
  Done,
  Refused, /**< its fencing number is lower than one seen before */
};

/** The orders an engine was given, and what they have made of it. */
class Orders
{
public:
  /** aRefuses: whether old fencing numbers are refused or ignored. */
  Orders(std::string aModel, bool aRefuses);

  /** aFencing is 0 where the order carried none. */
  OrderOutcome Obey(const std::string& aOrder,
                    const std::string& aSubject,
                    uint64_t aFencing);
  /** Whether requests for the model or adapter are served. */
  bool Serves(const std::string& aModel) const;
  /** In the published form of `GET /v1/models`. */
  nlohmann::json Models() const;
  /** Every order in its sequence, with its number and outcome. */
  nlohmann::json Dump() const;

private:
  struct Record
  {
    std::string mOrder;
    std::string mSubject;
    uint64_t mFencing = 0;
    bool mDone = false;
    int64_t mAt = 0;
  };

  void Apply(const std::string& aOrder, const std::string& aSubject);

  mutable std::mutex mMutex;
  bool mRefuses;
  uint64_t mHighest = 0;
  std::string mModel;
  std::string mRole = "both";
  std::set<std::string> mAdapters;
  std::vector<Record> mRecords;
};

} // namespace standin
