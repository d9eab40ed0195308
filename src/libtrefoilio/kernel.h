#pragma once

#include "service.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilio {

/**
 * The micro-kernel of a process: owns its services, starts them in the order
 * of registration, stops them in the opposite order, and lets them find each
 * other by name.
 */
class Kernel
{
public:
  Kernel() = default;
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  /** Names are unique; throws std::invalid_argument otherwise. */
  void Register(std::string aName, std::unique_ptr<Service> aService);

  /**
   * The service of that name and type; throws std::out_of_range where there
   * is none, which is a mistake of the program and not of its user.
   */
  template<typename T>
  T& Find(std::string_view aName) const
  {
    return dynamic_cast<T&>(FindService(aName));
  }

  void StartAll();
  void StopAll();

  /** One JSON object with a member for each service. */
  std::string DumpState() const;

private:
  struct Entry
  {
    std::string mName;
    std::unique_ptr<Service> mService;
    bool mStarted = false;
  };

  Service& FindService(std::string_view aName) const;

  std::vector<Entry> mEntries;
};

} // namespace trefoilio
