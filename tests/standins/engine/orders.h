#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace standin {

/** The result of an order. */
enum class OrderOutcome
{
  Done,
  Refused, /**< its fencing number is lower than one seen before */
};

/** The orders that an engine received and the state they led to. */
class Orders
{
public:
  /** aRefuses: whether orders with an old fencing number are refused; if
   * false, the number is ignored. */
  Orders(std::string aModel, bool aRefuses);

  /** aFencing is 0 if the order has no fencing number. */
  OrderOutcome Execute(const std::string& aOrder,
                       const std::string& aSubject,
                       uint64_t aFencing);
  /** Whether requests for the model or adapter are served. */
  bool Serves(const std::string& aModel) const;
  /** Returns the response body of `GET /v1/models`. */
  nlohmann::json Models() const;
  /** Returns all orders in sequence with fencing number and outcome. */
  nlohmann::json Dump() const;

private:
  struct Record
  {
    std::string mOrder;
    std::string mSubject;
    uint64_t mFencing = 0;
    bool mDone = false;
    int64_t mTime = 0;
  };

  void Apply(const std::string& aOrder, const std::string& aSubject);

  mutable std::mutex mMutex;
  bool mRefuses;
  uint64_t mHighestFencing = 0;
  std::string mModel;
  std::string mRole = "both";
  std::set<std::string> mAdapters;
  std::vector<Record> mRecords;
};

} // namespace standin
