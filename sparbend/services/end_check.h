// Finds out whether the process of a target still runs, once a connection that
// delimits an answer of it has ended (Framing::kUntilClose).
//
//   EndCheck check(kernel, &connections, open);
//   end.target = co_await check.Run(context, slot, connection->sent_at);
#ifndef SPARBEND_SERVICES_END_CHECK_H_
#define SPARBEND_SERVICES_END_CHECK_H_

#include <functional>
#include <memory>

#include "sparbend/core/answer_end.h"
#include "sparbend/core/errors.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class EndCheck {
 public:
  // Makes a new connection to the target of the slot.
  using Open = std::function<asio::awaitable<
      Result<std::shared_ptr<Connection>>>(RequestContext*, const Slot&)>;

  // `connections` must outlive this.
  EndCheck(Kernel* kernel, Connections* connections, Open open)
      : kernel_(kernel), connections_(connections), open_(std::move(open)) {}

  // Whether the process that took the request sent at `sent_at` still runs.
  // Takes a few milliseconds; a connection made for it is kept for the next
  // request. Is cancelled by the context's `cancel`.
  auto Run(RequestContext* context, const Slot& slot, Millis sent_at)
      -> asio::awaitable<TargetState>;

 private:
  // Whether a connection made at `at` or before stays open for kSettlingTime.
  auto StaysOpen(const Slot& slot, Millis at) -> asio::awaitable<bool>;

  Kernel* kernel_;
  Connections* connections_;
  Open open_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_END_CHECK_H_
