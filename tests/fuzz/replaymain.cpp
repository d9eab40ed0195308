#include "fuzztarget.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>

/** Replays the inputs of a folder, each also with random changes. Runs where no
 * fuzzer is available. */
namespace {

constexpr int kChangedCopies = 400;
constexpr size_t kMaxChanges = 8;
constexpr uint32_t kSeed = 71;

std::string
Changed(std::string aText, std::mt19937& aRandom)
{
  std::uniform_int_distribution<size_t> draw;
  for (size_t left = 1 + draw(aRandom) % kMaxChanges; left > 0; --left) {
    const size_t position = aText.empty() ? 0 : draw(aRandom) % aText.size();
    const char byte = static_cast<char>(draw(aRandom));
    switch (aText.empty() ? 0 : draw(aRandom) % 4) {
      case 0:
        aText.insert(position, 1, byte);
        break;
      case 1:
        aText.erase(position, 1);
        break;
      case 2:
        aText[position] = byte;
        break;
      default:
        aText.insert(position, aText.substr(position, draw(aRandom) % 16));
    }
  }
  return aText;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: " << aArguments[0] << " FOLDER\n";
    return EXIT_FAILURE;
  }
  std::mt19937 random(kSeed);
  size_t inputs = 0;
  for (const auto& each : std::filesystem::directory_iterator(aArguments[1])) {
    std::ifstream file(each.path(), std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    ReadInput(text);
    for (int copy = 0; copy < kChangedCopies; ++copy) {
      ReadInput(Changed(text, random));
    }
    inputs++;
  }
  std::cout << "replayed " << inputs << " inputs\n";
  return inputs > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
