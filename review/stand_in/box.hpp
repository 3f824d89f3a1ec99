// A box: target/sparbendd as a process of its own, with deploy/settings.toml
// filled as DEPLOY.md says.
#ifndef REVIEW_STAND_IN_BOX_HPP_
#define REVIEW_STAND_IN_BOX_HPP_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "record.hpp"

namespace review {

struct BoxOptions {
  std::string name;
  std::string zone = "hall-a";
  int store_port = 0;
  int memory_mb = 260;
};

class Box {
 public:
  // `folder`: for its settings and its log.
  Box(const BoxOptions& options, const std::string& folder, Record* record);
  ~Box();
  Box(const Box&) = delete;
  auto operator=(const Box&) -> Box& = delete;

  void Start();
  // Ends the process and waits for it.
  void Kill();
  void Signal(int signal);
  // Whether the process has ended by itself.
  auto HasEnded() -> bool;
  // Waits until the box says that it is ready; false if it doesn't in time.
  auto WaitReady(int64_t timeout_ms) -> bool;
  // Resident memory in bytes.
  auto ResidentBytes() const -> int64_t;

  auto port() const -> int { return callers_; }
  auto name() const -> const std::string& { return options_.name; }

 private:
  auto Settings() const -> std::string;

  BoxOptions options_;
  std::string folder_;
  Record* record_;
  int callers_ = 0;
  int ready_ = 0;
  int peers_ = 0;
  int control_ = 0;
  pid_t pid_ = -1;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_BOX_HPP_
