// Callers of a soak: each asks one request after the other, on a connection
// that it keeps until the box ends it.
#ifndef TESTING_SOAK_CALLERS_H_
#define TESTING_SOAK_CALLERS_H_

#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "sparbend/kernel/http.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

class SoakCallers {
 public:
  // A request to send next; it is called on the callers' thread.
  using DrawRequest = std::function<Asked(std::mt19937_64*)>;

  // `now` is the soak's clock. Without `draw` requests go to one route of each
  // kind, with the newest key or the one before it.
  SoakCallers(uint64_t seed,
              int callers,
              std::function<Millis()> now,
              DrawRequest draw = nullptr);
  ~SoakCallers();

  // Where a box takes callers; empty while it is known to be gone.
  void SetBox(int box, const std::string& address);
  // The number of the newest key.
  void SetKey(int key);
  // Ends the callers, after their last answers; what all of them got.
  auto Finish() -> std::vector<Asked>;
  // What was got so far.
  auto Sofar() -> std::vector<Asked>;

 private:
  struct Link;

  auto Ask(uint64_t seed) -> asio::awaitable<void>;
  auto AskOnce(Link* link, Asked* asked) -> asio::awaitable<void>;
  // Asks at the box of `link`, and keeps what was got.
  auto AskAndKeep(Link* link, Asked* asked) -> asio::awaitable<void>;
  auto Open(Link* link, int box) -> asio::awaitable<bool>;
  auto Draw(std::mt19937_64* random, uint64_t number) -> Asked;

  asio::io_context io_;
  std::function<Millis()> now_;
  DrawRequest draw_;
  std::mutex mutex_;
  std::vector<std::string> boxes_;
  int key_ = 1;
  bool ending_ = false;
  std::vector<Asked> asked_;
  std::thread thread_;
};

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_CALLERS_H_
