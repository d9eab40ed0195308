#include "uploaders.h"

#include "platformfleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace platformtest {

namespace {

constexpr size_t kMostAtOnce = 65536;
/** A chunk of 4,096 bytes with its framing. */
constexpr size_t kChunkBytes = 4096;
constexpr std::string_view kChunkHead = "1000\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::chrono::milliseconds kRound{ 5 };

std::string
Chunk()
{
  return std::string(kChunkHead) + std::string(kChunkBytes, 'b') + "\r\n";
}

int
Connect(const std::string& aAddress)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  static_cast<void>(connect(
    handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  fcntl(handle, F_SETFL, fcntl(handle, F_GETFL) | O_NONBLOCK);
  return handle;
}

} // namespace

Uploaders::Uploaders(std::string aAddress, UploadFraming aFraming)
  : mAddress(std::move(aAddress))
  , mFraming(aFraming)
{
}

Uploaders::~Uploaders()
{
  for (const Uploader& each : mUploaders) {
    close(each.mSocket);
  }
}

void
Uploaders::Start(const Upload& aUpload)
{
  Uploader uploader{ .mUpload = aUpload,
                     .mSocket = Connect(mAddress),
                     .mStart = Clock::now(),
                     .mAllBytes = aUpload.mBodyBytes };
  GateCall call{ .mId = aUpload.mId,
                 .mMethod = "POST",
                 .mPath = "/once/x",
                 .mKey = aUpload.mKey,
                 .mDeadlineMs = 20000 };
  if (mFraming == UploadFraming::Length) {
    call.mHeaders = { { "Content-Length",
                        std::to_string(aUpload.mBodyBytes) } };
  } else {
    call.mHeaders = { { "Transfer-Encoding", "chunked" } };
    const size_t chunks = aUpload.mBodyBytes / kChunkBytes;
    uploader.mAllBytes = chunks * Chunk().size() + kLastChunk.size();
  }
  const std::string head = PlatformFleet::Text(call);
  static_cast<void>(
    send(uploader.mSocket, head.data(), head.size(), MSG_NOSIGNAL));
  mUploaders.push_back(std::move(uploader));
}

std::string
Uploaders::PieceAt(const Uploader& aUploader,
                   size_t aOffset,
                   size_t aMost) const
{
  if (mFraming == UploadFraming::Length) {
    return std::string(aMost, 'b');
  }
  const std::string chunk = Chunk();
  const size_t last = aUploader.mAllBytes - kLastChunk.size();
  if (aOffset >= last) {
    return std::string(kLastChunk.substr(aOffset - last, aMost));
  }
  return chunk.substr(aOffset % chunk.size(), aMost);
}

void
Uploaders::Send(Uploader& aUploader) const
{
  const std::chrono::duration<double> elapsed = Clock::now() - aUploader.mStart;
  const auto rate = static_cast<double>(aUploader.mUpload.mBytesPerSecond);
  const size_t due =
    std::min(aUploader.mAllBytes, static_cast<size_t>(elapsed.count() * rate));
  while (!aUploader.mClosed && aUploader.mSent < due) {
    const std::string piece = PieceAt(
      aUploader, aUploader.mSent, std::min(kMostAtOnce, due - aUploader.mSent));
    const ssize_t sent =
      send(aUploader.mSocket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    aUploader.mSent += static_cast<size_t>(sent);
  }
}

void
Uploaders::Receive(Uploader& aUploader)
{
  std::array<char, 4096> bytes;
  while (!aUploader.mClosed) {
    const ssize_t count =
      recv(aUploader.mSocket, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      aUploader.mAnswer.append(bytes.data(), static_cast<size_t>(count));
    } else if (count < 0 && errno == EAGAIN) {
      return;
    } else {
      aUploader.mClosed = true;
    }
  }
}

void
Uploaders::SendFor(int aMillis)
{
  const auto end = Clock::now() + std::chrono::milliseconds(aMillis);
  while (Clock::now() < end) {
    for (Uploader& each : mUploaders) {
      Receive(each);
      Send(each);
    }
    std::this_thread::sleep_for(kRound);
  }
}

bool
Uploaders::SendUntilAnswered(int aTimeoutMillis)
{
  const auto end = Clock::now() + std::chrono::milliseconds(aTimeoutMillis);
  const auto isAnswered = [](const Uploader& aEach) {
    return aEach.mClosed || !aEach.mAnswer.empty();
  };
  while (Clock::now() < end) {
    SendFor(static_cast<int>(kRound.count()));
    if (std::ranges::all_of(mUploaders, isAnswered)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string>
Uploaders::Answers() const
{
  std::vector<std::string> answers;
  answers.reserve(mUploaders.size());
  for (const Uploader& each : mUploaders) {
    answers.push_back(each.mAnswer);
  }
  return answers;
}

} // namespace platformtest
