#include "process.h"
namespace trefoilarch {
std::unique_ptr<Process> MakeEntryProcess(const trefoilio::Settings&) { return nullptr; }
}
