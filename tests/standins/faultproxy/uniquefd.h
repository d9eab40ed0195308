#pragma once

#include <unistd.h>
#include <utility>

namespace standin {

/** Owns a file descriptor. */
class UniqueFd
{
public:
  explicit UniqueFd(int aFd = -1)
    : mFd(aFd)
  {
  }
  ~UniqueFd() { Close(); }
  UniqueFd(UniqueFd&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
  {
  }
  UniqueFd& operator=(UniqueFd&& aOther) noexcept
  {
    std::swap(mFd, aOther.mFd);
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;

  int Value() const { return mFd; }
  bool Open() const { return mFd >= 0; }
  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

private:
  int mFd;
};

} // namespace standin
