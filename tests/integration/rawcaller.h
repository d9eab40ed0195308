#pragma once

#include <cstdint>
#include <string>

namespace integration {

/** How a connection was found after the last byte was read from it. */
enum class ConnectionEnd : uint8_t
{
  Open,
  Closed,
  Reset,
};

/** What a caller received, and how it ended. */
struct RawAnswer
{
  std::string mText;
  ConnectionEnd mEnd = ConnectionEnd::Open;
};

/** A plain TCP connection, for bytes that an HTTP client would not send. */
class RawCaller
{
public:
  /** Connects to `ADDRESS:PORT`, with or without `http://` before it. */
  explicit RawCaller(const std::string& aAddress);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool Send(const std::string& aText) const;
  /** Reads until the peer closes or sends nothing for that long. */
  std::string ReadAll(int aIdleTimeoutMillis = 15000) const;
  /** Like ReadAll(), but also ends at the suffix, unless it is empty. */
  std::string ReadUntil(const std::string& aSuffix,
                        int aIdleTimeoutMillis = 15000) const;
  /** The same, with how the connection ended. */
  RawAnswer ReadAnswer(const std::string& aSuffix,
                       int aIdleTimeoutMillis = 15000) const;

private:
  int mSocket;
};

} // namespace integration
