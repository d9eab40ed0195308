#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace trefoilgate {

/** A header field; refers to the block that holds it. */
struct HeaderField
{
  std::string_view mName;
  std::string_view mValue;

  bool operator==(const HeaderField&) const = default;
};

/**
 * Header fields in their order, as one text: a field takes its bytes and those
 * of two lengths, which is no more than its line in a request.
 */
class HeaderBlock
{
public:
  class Iterator
  {
  public:
    Iterator() = default;
    /** At the first of the fields that the text holds. */
    explicit Iterator(std::string_view aText)
      : mText(aText)
    {
      ReadField();
    }

    const HeaderField& operator*() const { return mField; }
    Iterator& operator++();
    bool operator==(const Iterator& aOther) const
    {
      return mText.size() == aOther.mText.size();
    }

  private:
    void ReadField();

    /** From the current field to the end. */
    std::string_view mText;
    HeaderField mField;
    size_t mFieldBytes = 0;
  };

  HeaderBlock() = default;
  HeaderBlock(std::initializer_list<HeaderField> aFields);

  void Append(std::string_view aName, std::string_view aValue);
  Iterator begin() const { return Iterator(mText); }
  Iterator end() const { return Iterator(); }

  /** Bytes of memory that the fields take. */
  size_t Capacity() const { return mText.capacity(); }
  void ShrinkToFit() { mText.shrink_to_fit(); }

  bool operator==(const HeaderBlock&) const = default;

private:
  /** For each field the length of its name, its name, the length of its value
   * and its value. A length has seven bits a byte; the highest bit marks all
   * but its last byte. */
  std::string mText;
};

} // namespace trefoilgate
