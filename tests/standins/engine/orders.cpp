#include "orders.h"

#include "common/executionlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standin {

Orders::Orders(std::string aModel, bool aRefuses)
  : mRefuses(aRefuses)
  , mModel(std::move(aModel))
{
}

OrderOutcome
Orders::Execute(const std::string& aOrder,
                const std::string& aSubject,
                uint64_t aFencing)
{
  const std::lock_guard lock(mMutex);
  const bool outdated = aFencing != 0 && aFencing < mHighestFencing;
  const bool done = !(outdated && mRefuses);
  mHighestFencing = std::max(mHighestFencing, aFencing);
  mRecords.push_back({ .mOrder = aOrder,
                       .mSubject = aSubject,
                       .mFencing = aFencing,
                       .mDone = done,
                       .mTime = MonotonicMillis() });
  if (!done) {
    return OrderOutcome::Refused;
  }
  Apply(aOrder, aSubject);
  return OrderOutcome::Done;
}

void
Orders::Apply(const std::string& aOrder, const std::string& aSubject)
{
  if (aOrder == "load_lora_adapter") {
    mAdapters.insert(aSubject);
  } else if (aOrder == "unload_lora_adapter") {
    mAdapters.erase(aSubject);
  } else if (aOrder == "load_model") {
    mModel = aSubject;
    mAdapters.clear();
  } else if (aOrder == "role") {
    mRole = aSubject;
  }
}

bool
Orders::Serves(const std::string& aModel) const
{
  const std::lock_guard lock(mMutex);
  return aModel == mModel || mAdapters.contains(aModel);
}

nlohmann::json
Orders::Models() const
{
  const std::lock_guard lock(mMutex);
  nlohmann::json data = nlohmann::json::array();
  data.push_back({ { "id", mModel }, { "object", "model" } });
  for (const std::string& adapter : mAdapters) {
    data.push_back(
      { { "id", adapter }, { "object", "model" }, { "parent", mModel } });
  }
  return { { "object", "list" }, { "data", data } };
}

nlohmann::json
Orders::Dump() const
{
  const std::lock_guard lock(mMutex);
  nlohmann::json list = nlohmann::json::array();
  for (const Record& record : mRecords) {
    list.push_back({ { "order", record.mOrder },
                     { "subject", record.mSubject },
                     { "fencing", record.mFencing },
                     { "done", record.mDone },
                     { "at_ms", record.mTime } });
  }
  return { { "role", mRole }, { "orders", list } };
}

} // namespace standin
