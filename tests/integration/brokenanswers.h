#pragma once

#include <string>
#include <vector>

namespace integration {

/** Bytes that are no answer, or not a legal one. */
struct BrokenAnswer
{
  std::string mName;
  std::string mBytes;
};

/** Answers with a body of 40 bytes whose head or framing no reader may
 * accept. They bear aFields, each with its line end. */
std::vector<BrokenAnswer>
BrokenAnswers(const std::string& aFields = "");

/** What an answer begins with, and the bytes that follow without end. */
struct EndlessAnswer
{
  std::string mName;
  std::string mBegin;
  std::string mMore;
};

/** Answers whose head or body never ends. The heads bear aFields. */
std::vector<EndlessAnswer>
EndlessAnswers(const std::string& aFields = "");

} // namespace integration
