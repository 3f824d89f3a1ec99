// Logs never wait for their reader and stay within their budget.
#include <fcntl.h>
#include <unistd.h>

#include "sparbend/core/log_budget.h"
#include "sparbend/kernel/log_sink.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(Logs){};

TEST(Logs, AFloodOfOneKindStaysWithinItsBudgetAndIsCounted) {
  LogBudget budget(100, 20);
  int passed = 0;
  int64_t told = 0;
  for (int i = 0; i < 10'000; ++i) {  // ten lines a millisecond
    if (const auto pass = budget.Take("flood", Millis(i / 10))) {
      ++passed;
      told += pass->left_out;
    }
  }
  CHECK(passed >= 100 && passed <= 120);
  const auto last = budget.Take("flood", Millis(2'000));
  CHECK(last.has_value());
  LONGS_EQUAL(10'000, passed + told + last->left_out);
  CHECK(budget.Take("another kind", Millis(1'000)).has_value());
}

TEST(Logs, AReaderThatStallsDelaysNothingAndLosesOnlyWhatIsOverTheBound) {
  int ends[2];
  CHECK(pipe(ends) == 0);
  LogSink sink(ends[1]);
  const std::string line(1'000, 'x');
  // Far more than a pipe holds; a write that waited would hang the test.
  for (int i = 0; i < 3'000; ++i)
    sink.Write(line);
  CHECK(sink.dropped() > 0);
  CHECK(sink.dropped() < 3'000);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  int64_t lines = 0;
  char buffer[65'536];
  for (int round = 0; round < 1'000; ++round) {
    const ssize_t size = read(ends[0], buffer, sizeof(buffer));
    if (size > 0)
      lines += std::count(buffer, buffer + size, '\n');
    sink.Flush();
  }
  LONGS_EQUAL(3'000, lines + sink.dropped());
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace sparbend
