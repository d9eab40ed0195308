#include "headerblock.h"

namespace trefoilgate {

namespace {

constexpr size_t kLengthBits = 7;
constexpr size_t kMoreFollows = size_t{ 1 } << kLengthBits;

void
AppendText(std::string& aOut, std::string_view aText)
{
  size_t length = aText.size();
  for (; length >= kMoreFollows; length >>= kLengthBits) {
    aOut.push_back(static_cast<char>(length | kMoreFollows));
  }
  aOut.push_back(static_cast<char>(length));
  aOut.append(aText);
}

/** The text at the position, which moves behind it. */
std::string_view
ReadText(std::string_view aIn, size_t& aPosition)
{
  size_t length = 0;
  size_t shift = 0;
  size_t byte = kMoreFollows;
  while ((byte & kMoreFollows) != 0) {
    byte = static_cast<unsigned char>(aIn[aPosition++]);
    length |= (byte & (kMoreFollows - 1)) << shift;
    shift += kLengthBits;
  }
  const std::string_view text = aIn.substr(aPosition, length);
  aPosition += length;
  return text;
}

} // namespace

HeaderBlock::HeaderBlock(std::initializer_list<HeaderField> aFields)
{
  for (const HeaderField& each : aFields) {
    Append(each.mName, each.mValue);
  }
}

void
HeaderBlock::Append(std::string_view aName, std::string_view aValue)
{
  AppendText(mText, aName);
  AppendText(mText, aValue);
}

void
HeaderBlock::Iterator::ReadField()
{
  mFieldBytes = 0;
  if (!mText.empty()) {
    mField.mName = ReadText(mText, mFieldBytes);
    mField.mValue = ReadText(mText, mFieldBytes);
  }
}

HeaderBlock::Iterator&
HeaderBlock::Iterator::operator++()
{
  mText.remove_prefix(mFieldBytes);
  ReadField();
  return *this;
}

} // namespace trefoilgate
