#include "sparbend/services/keyed_log.h"

namespace sparbend {

// The two awaits are separate statements, since g++ 12 destroys the temporaries
// of a conditional expression with co_await twice.
auto KeyedLogReader::Step(Millis wait) -> asio::awaitable<Result<KeyedPage>> {
  if (!next_)
    co_return co_await ReadNewest();
  Result<KeyedPage> page = co_await log_.read(*next_, wait);
  if (page) {
    next_ = page->next;
    co_return page;
  }
  const bool trimmed = page.error().code == make_error_code(Errc::kTrimmed);
  if (!trimmed)
    co_return page;
  co_return co_await ReadNewest();
}

auto KeyedLogReader::ReadNewest() -> asio::awaitable<Result<KeyedPage>> {
  Result<KeyedPage> page = co_await log_.read_newest();
  if (page)
    next_ = page->next;
  co_return page;
}

}  // namespace sparbend
