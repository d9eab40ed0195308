#pragma once

#include <string>

namespace integration {

/** A folder of a test's own that goes with the object. */
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

} // namespace integration
