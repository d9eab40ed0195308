#include "fuzztarget.h"

// libFuzzer prescribes this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize);

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  ReadInput({ reinterpret_cast<const char*>(aData), aSize });
  return 0;
}
