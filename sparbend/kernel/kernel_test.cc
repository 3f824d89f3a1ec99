#include "sparbend/kernel/kernel.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

using asio::ip::udp;

constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);

// Keeps the thread busy, as handling a request does on a small box.
void Spin(const Kernel& kernel, Millis span) {
  const Millis end = kernel.Now() + span;
  while (kernel.Now() < end) {
  }
}

auto LoopbackSocket(Kernel* kernel) -> udp::socket {
  return udp::socket(kernel->io(), {asio::ip::make_address("127.0.0.1"), 0});
}

struct Flood {
  const char* name;
  int clients;         // that always have a request to handle
  int request_millis;  // processor time of each request
};

TEST_GROUP(ControlWork){};

// Guards against control messages that wait for as long as clients' bytes do:
// an overloaded box then learned of a new configuration seconds late.
// Sends itself `count` messages, one after the other.
auto SendToSelf(Kernel* kernel, int count) -> asio::awaitable<void> {
  udp::socket socket = LoopbackSocket(kernel);
  const udp::endpoint self = socket.local_endpoint();
  char byte = 0;
  for (int sent = 0; sent < count; ++sent) {
    co_await socket.async_send_to(asio::buffer(&byte, 1), self, kAwaitResult);
    co_await socket.async_receive(asio::buffer(&byte, 1), kAwaitResult);
  }
}

auto RunClient(Kernel* kernel, Millis request_time, int64_t* handled)
    -> asio::awaitable<void> {
  while (true) {
    co_await SendToSelf(kernel, 1);
    Spin(*kernel, request_time);
    ++*handled;
  }
}

struct Outcome {
  Millis longest;       // delay of a control message
  int64_t handled = 0;  // requests of clients, after the first second
};

constexpr int kMessages = 10;

// Sends the times at which it sends them, as another process would: at moments
// that do not depend on what the event loop does.
void SendTimes(const Kernel& kernel, const udp::endpoint& to) {
  asio::io_context io;
  udp::socket socket(io, udp::v4());
  std::this_thread::sleep_for(
      std::chrono::seconds(1));  // all clients have begun
  for (int message = 0; message < kMessages; ++message) {
    std::this_thread::sleep_for(std::chrono::milliseconds(73));
    const int64_t sent_ms = kernel.Now().count();
    socket.send_to(asio::buffer(&sent_ms, sizeof(sent_ms)), to);
  }
}

auto MeasureControl(Kernel* kernel,
                    udp::socket* socket,
                    const int64_t* handled,
                    Outcome* outcome) -> asio::awaitable<void> {
  constexpr int kFurtherSteps = 2;  // a call and its response
  int64_t before = 0;
  for (int message = 0; message < kMessages; ++message) {
    int64_t sent_ms = 0;
    co_await socket->async_receive(asio::buffer(&sent_ms, sizeof(sent_ms)),
                                   kAwaitResult);
    if (message == 0)
      before = *handled;
    co_await SendToSelf(kernel, kFurtherSteps);
    outcome->longest =
        std::max(outcome->longest, kernel->Now() - Millis(sent_ms));
  }
  outcome->handled = *handled - before;
  kernel->Stop();
}

// Guards against control messages that wait as long as the bytes of clients do:
// an overloaded box then applied a new configuration seconds late.
TEST(ControlWork, DoesNotWaitBehindAFloodOfClients) {
  // A fifth of the time within which a change must be active.
  constexpr Millis kMaxDelay(400);
  for (const Flood& flood :
       {Flood{"small requests", 300, 1}, Flood{"large requests", 100, 5}}) {
    Kernel kernel;
    int64_t handled = 0;
    Outcome outcome;
    for (int client = 0; client < flood.clients; ++client)
      kernel.SpawnForClients(
          "client", RunClient(&kernel, Millis(flood.request_millis), &handled));
    udp::socket socket = LoopbackSocket(&kernel);
    std::thread sender(SendTimes, std::cref(kernel), socket.local_endpoint());
    kernel.Spawn("control",
                 MeasureControl(&kernel, &socket, &handled, &outcome));
    kernel.Run();
    sender.join();
    CHECK_TEXT(outcome.longest < kMaxDelay, flood.name);
    CHECK_TEXT(outcome.handled >= 50, flood.name);  // clients are still served
  }
}

auto FloodWithControl(Kernel* kernel) -> asio::awaitable<void> {
  while (true) {
    co_await SendToSelf(kernel, 1);
    Spin(*kernel, Millis(1));
  }
}

// Processor time of this thread.
auto ProcessorTime() -> Millis {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return Millis(int64_t{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000);
}

// The event loop is never idle, so a second of processor time is one of its
// time, unless other processes take its core.
auto MeasureClient(Kernel* kernel, int64_t* handled) -> asio::awaitable<void> {
  const Millis begin = ProcessorTime();
  while (ProcessorTime() - begin < Millis(1'000)) {
    co_await SendToSelf(kernel, 1);
    ++*handled;
  }
  kernel->Stop();
}

// Guards against a box that gets more datagrams than it can read, as one that
// adds up load reports may, and serves no client meanwhile.
TEST(ControlWork, DoesNotKeepClientsFromBeingServed) {
  Kernel kernel;
  int64_t handled = 0;
  for (int sender = 0; sender < 50; ++sender)
    kernel.Spawn("control", FloodWithControl(&kernel));
  kernel.SpawnForClients("client", MeasureClient(&kernel, &handled));
  // Ends the test if the client is never served.
  asio::steady_timer limit(kernel.io(), std::chrono::seconds(30));
  limit.async_wait([&](const boost::system::error_code&) { kernel.Stop(); });
  kernel.Run();
  // Each takes a turn of control work of 15 ms.
  CHECK(handled >= 20);
}

}  // namespace
}  // namespace sparbend
