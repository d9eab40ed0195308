#include "temporaryfolder.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace integration {

TemporaryFolder::TemporaryFolder()
  : mPath(std::filesystem::temp_directory_path() / "trefoilarch-XXXXXX")
{
  if (mkdtemp(mPath.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  }
}

TemporaryFolder::~TemporaryFolder()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

} // namespace integration
