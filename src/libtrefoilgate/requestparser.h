#pragma once

#include "headerblock.h"

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace trefoilgate {

/** Parses a caller's request and keeps its head as text. Trailer fields are
 * checked and dropped. */
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
  const std::string& Method() const { return mMethod; }
  const std::string& Target() const { return mTarget; }
  const HeaderBlock& Fields() const { return mFields; }
  /** Whether the request is of HTTP/1.1. */
  bool IsHttp11() const { return mHttp11; }
  bool HasContentLength() const { return mHasContentLength; }
  /** Whether there is a transfer coding other than "chunked" alone. */
  bool HasUnknownCoding() const { return mHasUnknownCoding; }
  bool ExpectsContinue() const { return mExpectsContinue; }
  /** The value of the first Host. */
  const std::string& Host() const { return mHost; }
  size_t HostCount() const { return mHostCount; }
  const std::string& Body() const { return mBody; }
  std::string TakeBody() { return std::move(mBody); }
  /** Releases the memory of the fields. */
  void DropFields() { mFields = {}; }

  /** Bytes of memory that the parsed parts take. */
  size_t Capacity() const;

private:
  using Error = boost::system::error_code;
  using View = boost::beast::string_view;
  using Verb = boost::beast::http::verb;
  using Field = boost::beast::http::field;

  /** Notes what the connection needs to know of a field. */
  void NoteField(Field aField, View aValue);

  void on_request_impl(Verb aVerb,
                       View aMethod,
                       View aTarget,
                       int aVersion,
                       Error& aError) override;
  void on_response_impl(int aStatus,
                        View aReason,
                        int aVersion,
                        Error& aError) override;
  void on_field_impl(Field aField,
                     View aName,
                     View aValue,
                     Error& aError) override;
  void on_header_impl(Error& aError) override;
  void on_body_init_impl(const boost::optional<uint64_t>& aLength,
                         Error& aError) override;
  size_t on_body_impl(View aData, Error& aError) override;
  void on_chunk_header_impl(uint64_t aSize,
                            View aExtensions,
                            Error& aError) override;
  size_t on_chunk_body_impl(uint64_t aRest, View aData, Error& aError) override;
  void on_finish_impl(Error& aError) override;

  std::string mMethod;
  std::string mTarget;
  HeaderBlock mFields;
  std::string mBody;
  size_t mStatedLength = 0;
  bool mHttp11 = false;
  std::string mHost;
  size_t mHostCount = 0;
  bool mHasContentLength = false;
  bool mHasUnknownCoding = false;
  bool mExpectsContinue = false;
  bool mHeadComplete = false;
};

} // namespace trefoilgate
