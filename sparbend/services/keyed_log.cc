#include "sparbend/services/keyed_log.h"

namespace sparbend {

// A page of another era holds other records than those after the reader's
// position, even if its offsets follow that position.
//
// The awaits are separate statements, since g++ 12 destroys the temporaries of
// a conditional expression with co_await twice.
auto KeyedLogReader::Step(Millis wait) -> asio::awaitable<Result<KeyedPage>> {
  if (!next_)
    co_return co_await ReadNewest();
  Result<KeyedPage> page = co_await log_.read(next_->offset, wait);
  const bool position_gone =
      page ? page->era != next_->era
           : page.error().code == make_error_code(Errc::kTrimmed);
  if (position_gone)
    co_return co_await ReadNewest();
  if (page)
    next_ = page->end();
  co_return page;
}

auto KeyedLogReader::ReadNewest() -> asio::awaitable<Result<KeyedPage>> {
  Result<KeyedPage> page = co_await log_.read_newest();
  if (page)
    next_ = page->end();
  co_return page;
}

}  // namespace sparbend
