#include "sparbend/services/keyed_log.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

// A log whose store may come back from an older copy.
struct FakeLog {
  int64_t era = 1;
  std::vector<std::string> keys;  // by offset

  auto Page(int64_t from, bool full) const -> KeyedPage {
    KeyedPage page;
    page.era = era;
    page.full = full;
    page.next = static_cast<int64_t>(keys.size());
    for (int64_t i = from; i < page.next; ++i)
      page.records.push_back({keys[static_cast<size_t>(i)], "value", i});
    return page;
  }

  auto Interface() -> KeyedLog {
    KeyedLog log;
    log.read_newest = [this]() -> asio::awaitable<Result<KeyedPage>> {
      co_return Page(0, /*full=*/true);
    };
    log.read = [this](int64_t from,
                      Millis) -> asio::awaitable<Result<KeyedPage>> {
      if (from > static_cast<int64_t>(keys.size()))
        co_return MakeError(Errc::kTrimmed, "");
      co_return Page(from, /*full=*/false);
    };
    return log;
  }
};

auto Step(KeyedLogReader* reader) -> KeyedPage {
  asio::io_context io;
  KeyedPage page;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        Result<KeyedPage> read = co_await reader->Step(Millis(0));
        if (read)
          page = std::move(*read);
      },
      asio::detached);
  io.run();
  return page;
}

TEST_GROUP(KeyedLogReader){};

// Guards against records of a new era that are never read, as they stand below
// the reader's offset.
TEST(KeyedLogReader, ReadsAllKeysOfANewEraWhereverItsLogEnds) {
  for (const size_t kept : {0U, 1U, 2U}) {
    for (const size_t written_again : {0U, 1U, 2U, 3U, 9U}) {
      FakeLog log;
      log.keys = {"a", "b", "c"};
      KeyedLogReader reader(log.Interface());
      LONGS_EQUAL(3, Step(&reader).records.size());
      CHECK(Step(&reader).records.empty());
      ++log.era;
      log.keys.resize(kept);
      log.keys.resize(kept + written_again, "again");
      const KeyedPage page = Step(&reader);
      CHECK(page.full);
      CHECK(page.end() ==
            (LogPosition{2, static_cast<int64_t>(log.keys.size())}));
      LONGS_EQUAL(log.keys.size(), page.records.size());
      log.keys.push_back("d");
      LONGS_EQUAL(1, Step(&reader).records.size());
    }
  }
}

}  // namespace
}  // namespace sparbend
