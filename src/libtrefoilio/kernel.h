#pragma once

#include "service.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilio {

/**
 * Service container of a process. Owns the services, starts them in
 * registration order, stops them in reverse order, and looks them up by name.
 */
class Kernel
{
public:
  Kernel() = default;
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  /** Adds a service; throws std::invalid_argument if the name is taken. */
  void Register(std::string aName, std::unique_ptr<Service> aService);

  /**
   * Returns the service of that name and type; throws std::out_of_range if
   * there is none, which is a programming error.
   */
  template<typename T>
  T& Find(std::string_view aName) const
  {
    return dynamic_cast<T&>(FindService(aName));
  }

  void StartAll();
  void StopAll();

  /** Returns a JSON object with a member for each service. */
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
