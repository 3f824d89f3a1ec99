#include "sparbend/services/keyed_log.h"

namespace sparbend {

// Two awaiting statements, since g++ 12 destroys the temporaries of a
// conditional awaiting expression twice.
auto KeyedLogReader::Step(Millis wait) -> asio::awaitable<Result<KeyedPage>> {
  if (!next_)
    co_return co_await List();
  Result<KeyedPage> page = co_await log_.read(*next_, wait);
  if (page) {
    next_ = page->next;
    co_return page;
  }
  const bool lost = page.error().code == make_error_code(Errc::kTrimmed);
  if (!lost)
    co_return page;
  co_return co_await List();
}

auto KeyedLogReader::List() -> asio::awaitable<Result<KeyedPage>> {
  Result<KeyedPage> page = co_await log_.newest();
  if (page)
    next_ = page->next;
  co_return page;
}

}  // namespace sparbend
