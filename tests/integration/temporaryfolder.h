#pragma once

#include <string>

namespace integration {

/** A temporary folder that the destructor removes. */
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
