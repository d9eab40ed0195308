#include "callcounter.h"

#include <cerrno>
#include <cstdlib>
#include <new>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <sys/uio.h>
#include <unistd.h>

namespace {

thread_local platformtest::CallCounts sCounts;

template<typename... Arguments>
long
Counted(long aNumber, Arguments... aArguments)
{
  sCounts.mSystemCalls++;
  return syscall(aNumber, aArguments...);
}

} // namespace

namespace platformtest {

CallCounts
ThreadCallCounts()
{
  return sCounts;
}

} // namespace platformtest

// The names and parameters are those of the C library.
// NOLINTBEGIN
extern "C"
{
  ssize_t recvmsg(int fd, msghdr* message, int flags)
  {
    return Counted(SYS_recvmsg, fd, message, flags);
  }

  ssize_t sendmsg(int fd, const msghdr* message, int flags)
  {
    return Counted(SYS_sendmsg, fd, message, flags);
  }

  ssize_t recv(int fd, void* data, size_t size, int flags)
  {
    return Counted(SYS_recvfrom, fd, data, size, flags, nullptr, nullptr);
  }

  ssize_t send(int fd, const void* data, size_t size, int flags)
  {
    return Counted(SYS_sendto, fd, data, size, flags, nullptr, 0);
  }

  ssize_t read(int fd, void* data, size_t size)
  {
    return Counted(SYS_read, fd, data, size);
  }

  ssize_t write(int fd, const void* data, size_t size)
  {
    return Counted(SYS_write, fd, data, size);
  }

  int epoll_wait(int fd, epoll_event* events, int max_events, int timeout)
  {
    // Not every architecture has epoll_wait(2).
    return static_cast<int>(
      Counted(SYS_epoll_pwait, fd, events, max_events, timeout, nullptr, 0));
  }

  int epoll_ctl(int fd, int operation, int other, epoll_event* event) noexcept
  {
    return static_cast<int>(
      Counted(SYS_epoll_ctl, fd, operation, other, event));
  }

  int timerfd_settime(int fd,
                      int flags,
                      const itimerspec* value,
                      itimerspec* before) noexcept
  {
    return static_cast<int>(
      Counted(SYS_timerfd_settime, fd, flags, value, before));
  }
}

void*
operator new(size_t size)
{
  sCounts.mAllocations++;
  void* pointer = std::malloc(size == 0 ? 1 : size);
  if (pointer == nullptr) {
    throw std::bad_alloc();
  }
  return pointer;
}

void
operator delete(void* pointer) noexcept
{
  std::free(pointer);
}

void
operator delete(void* pointer, size_t) noexcept
{
  std::free(pointer);
}
// NOLINTEND
