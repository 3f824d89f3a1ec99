// Owns a file descriptor and closes it at the end of its life. For sockets that
// are only read and written once, without the event loop.
//
//   UniqueFd fd(accept4(...));
//   if (fd.value() < 0) ...  // none
#ifndef SPARBEND_KERNEL_UNIQUE_FD_H_
#define SPARBEND_KERNEL_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace sparbend {

class UniqueFd {
 public:
  explicit UniqueFd(int fd = -1) : fd_(fd) {}
  UniqueFd(const UniqueFd&) = delete;
  auto operator=(const UniqueFd&) -> UniqueFd& = delete;
  UniqueFd(UniqueFd&& other) noexcept : fd_(other.Release()) {}
  auto operator=(UniqueFd&& other) noexcept -> UniqueFd& {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~UniqueFd() {
    if (fd_ >= 0)
      close(fd_);
  }

  // Negative: none.
  auto value() const -> int { return fd_; }
  // Gives up ownership.
  auto Release() -> int { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_UNIQUE_FD_H_
