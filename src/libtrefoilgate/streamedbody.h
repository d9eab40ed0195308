#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace trefoilgate {

// Beast prescribes the names of a body.
// NOLINTBEGIN(readability-identifier-naming)

/**
 * A body for Beast's parser that is taken away in pieces. Unlike string_body it
 * reserves nothing for the length that the head states.
 */
struct StreamedBody
{
  using value_type = std::string;

  class reader
  {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*aHead*/,
           value_type& aBody)
      : mBody(aBody)
    {
    }

    static void init(const boost::optional<uint64_t>& /*aLength*/,
                     boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      size_t bytes = 0;
      for (const boost::asio::const_buffer each :
           boost::beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(each.data()), each.size());
        bytes += each.size();
      }
      return bytes;
    }

    static void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& mBody;
  };
};

// NOLINTEND(readability-identifier-naming)

} // namespace trefoilgate
