// Tests that logging never waits for its reader and stays within its budget.
#include <fcntl.h>
#include <unistd.h>

#include "sparbend/core/log_budget.h"
#include "sparbend/kernel/log_sink.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(Logs){};

TEST(Logs, LinesOfOneEventStayWithinTheBudgetAndTheRestAreCounted) {
  LogBudget budget(100, 20);
  int passed = 0;
  int64_t left_out = 0;
  for (int i = 0; i < 10'000; ++i) {  // ten lines per millisecond
    if (const auto pass = budget.Take("flood", Millis(i / 10))) {
      ++passed;
      left_out += pass->left_out;
    }
  }
  CHECK(passed >= 100 && passed <= 120);
  const auto last = budget.Take("flood", Millis(2'000));
  CHECK(last.has_value());
  LONGS_EQUAL(10'000, passed + left_out + last->left_out);
  CHECK(budget.Take("another event", Millis(1'000)).has_value());
}

TEST(Logs, AStalledReaderBlocksNothingAndLosesOnlyLinesBeyondTheBuffer) {
  int pipe_ends[2];
  CHECK(pipe(pipe_ends) == 0);
  LogSink sink(pipe_ends[1]);
  const std::string line(1'000, 'x');
  // Far more than a pipe holds, so a blocking write would hang the test.
  for (int i = 0; i < 3'000; ++i)
    sink.Write(line);
  CHECK(sink.dropped() > 0);
  CHECK(sink.dropped() < 3'000);
  fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  int64_t lines = 0;
  char buffer[65'536];
  for (int round = 0; round < 1'000; ++round) {
    const ssize_t size = read(pipe_ends[0], buffer, sizeof(buffer));
    if (size > 0)
      lines += std::count(buffer, buffer + size, '\n');
    sink.Flush();
  }
  LONGS_EQUAL(3'000, lines + sink.dropped());
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

}  // namespace
}  // namespace sparbend
