#include "requestparser.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <limits>

namespace trefoilgate {

namespace {

constexpr int kHttp11 = 11;

std::string_view
AsView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

size_t
RequestParser::Capacity() const
{
  return mMethod.capacity() + mTarget.capacity() + mHost.capacity() +
         mFields.Capacity() + mBody.capacity();
}

void
RequestParser::on_request_impl(Verb /*aVerb*/,
                               View aMethod,
                               View aTarget,
                               int aVersion,
                               Error& /*aError*/)
{
  mMethod = AsView(aMethod);
  mTarget = AsView(aTarget);
  mHttp11 = aVersion == kHttp11;
}

void
RequestParser::on_response_impl(int /*aStatus*/,
                                View /*aReason*/,
                                int /*aVersion*/,
                                Error& /*aError*/)
{
}

void
RequestParser::on_field_impl(Field aField,
                             View aName,
                             View aValue,
                             Error& /*aError*/)
{
  // Fields that follow the head are trailers.
  if (mHeadComplete) {
    return;
  }
  NoteField(aField, aValue);
  mFields.Append(AsView(aName), AsView(aValue));
}

void
RequestParser::NoteField(Field aField, View aValue)
{
  using boost::beast::iequals;
  switch (aField) {
    case Field::host:
      if (mHostCount++ == 0) {
        mHost = AsView(aValue);
      }
      break;
    case Field::content_length:
      mHasContentLength = true;
      break;
    case Field::transfer_encoding:
      mHasUnknownCoding = mHasUnknownCoding || !iequals(aValue, "chunked");
      break;
    case Field::expect:
      mExpectsContinue = mExpectsContinue || iequals(aValue, "100-continue");
      break;
    default:
      break;
  }
}

void
RequestParser::on_header_impl(Error& /*aError*/)
{
  mHeadComplete = true;
}

void
RequestParser::on_body_init_impl(const boost::optional<uint64_t>& aLength,
                                 Error& /*aError*/)
{
  mStatedLength = aLength.value_or(std::numeric_limits<size_t>::max());
}

size_t
RequestParser::on_body_impl(View aData, Error& /*aError*/)
{
  const size_t needed = mBody.size() + aData.size();
  if (needed > mBody.capacity()) {
    // Doubled, so that growing is linear, but not beyond the stated length.
    mBody.reserve(
      std::max(needed, std::min(2 * mBody.capacity(), mStatedLength)));
  }
  mBody.append(aData.data(), aData.size());
  return aData.size();
}

void
RequestParser::on_chunk_header_impl(uint64_t /*aSize*/,
                                    View /*aExtensions*/,
                                    Error& /*aError*/)
{
}

size_t
RequestParser::on_chunk_body_impl(uint64_t /*aRest*/, View aData, Error& aError)
{
  return on_body_impl(aData, aError);
}

void
RequestParser::on_finish_impl(Error& /*aError*/)
{
}

} // namespace trefoilgate
