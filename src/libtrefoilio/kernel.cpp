#include "kernel.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace trefoilio {

Kernel::~Kernel()
{
  StopAll();
  while (!mEntries.empty()) {
    mEntries.pop_back();
  }
}

void
Kernel::Register(std::string aName, std::unique_ptr<Service> aService)
{
  for (const Entry& entry : mEntries) {
    if (entry.mName == aName) {
      throw std::invalid_argument("duplicate service name " + aName);
    }
  }
  mEntries.push_back(
    { .mName = std::move(aName), .mService = std::move(aService) });
}

Service&
Kernel::FindService(std::string_view aName) const
{
  for (const Entry& entry : mEntries) {
    if (entry.mName == aName) {
      return *entry.mService;
    }
  }
  throw std::out_of_range("unknown service " + std::string(aName));
}

void
Kernel::StartAll()
{
  try {
    for (Entry& entry : mEntries) {
      if (!entry.mStarted) {
        entry.mService->Start(*this);
        entry.mStarted = true;
      }
    }
  } catch (...) {
    StopAll();
    throw;
  }
}

void
Kernel::StopAll()
{
  for (size_t remaining = mEntries.size(); remaining > 0; --remaining) {
    Entry& entry = mEntries[remaining - 1];
    if (entry.mStarted) {
      entry.mStarted = false;
      entry.mService->Stop();
    }
  }
}

std::string
Kernel::DumpState() const
{
  std::string text = "{";
  for (const Entry& entry : mEntries) {
    if (text.size() > 1) {
      text += ',';
    }
    text += nlohmann::json(entry.mName).dump();
    text += ':';
    text += entry.mService->DumpState();
  }
  return text + "}";
}

} // namespace trefoilio
