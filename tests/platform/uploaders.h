#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace platformtest {

/** How the length of a body is stated. */
enum class UploadFraming : uint8_t
{
  Length,
  Chunks,
};

/** A request with a body that its caller sends at some rate. */
struct Upload
{
  std::string mId;
  std::string mKey = "key-1";
  size_t mBodyBytes = 0;
  size_t mBytesPerSecond = 0;
};

/** Callers that send their bodies side by side, in one thread, and read the
 * first bytes of their answers. */
class Uploaders
{
public:
  Uploaders(std::string aAddress, UploadFraming aFraming);
  ~Uploaders();
  Uploaders(const Uploaders&) = delete;
  Uploaders& operator=(const Uploaders&) = delete;

  /** Connects and sends the head. */
  void Start(const Upload& aUpload);
  /** Sends what is due for that time. */
  void SendFor(int aMillis);
  /** The same until each caller has an answer; false on a timeout. */
  bool SendUntilAnswered(int aTimeoutMillis);
  /** Empty for callers without one. */
  std::vector<std::string> Answers() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Uploader
  {
    Upload mUpload;
    int mSocket = -1;
    Clock::time_point mStart;
    /** Of the body with its framing. */
    size_t mSent = 0;
    size_t mAllBytes = 0;
    std::string mAnswer;
    bool mClosed = false;
  };

  /** The body's bytes from aOffset on, at most aMost. */
  std::string PieceAt(const Uploader& aUploader,
                      size_t aOffset,
                      size_t aMost) const;
  void Send(Uploader& aUploader) const;
  static void Receive(Uploader& aUploader);

  std::string mAddress;
  UploadFraming mFraming;
  std::vector<Uploader> mUploaders;
};

} // namespace platformtest
