// Reads the head of a target's answer. Stricter than HTTP's grammar where a
// lenient reading could pass on something that the target did not send.
//
//   if (const auto error = co_await ReadAnswerHead(connection, &parser,
//                                               memory)) ...
#ifndef SPARBEND_SERVICES_ANSWER_HEAD_H_
#define SPARBEND_SERVICES_ANSWER_HEAD_H_

#include "sparbend/core/memory_budget.h"
#include "sparbend/kernel/http.h"
#include "sparbend/services/connections.h"

namespace sparbend {

using AnswerParser = http::response_parser<http::buffer_body>;

// Reads until the head is complete; `parser` then continues with the body. As
// http::async_read_header, but fails with http::error::bad_obs_fold if a line
// begins with a blank, and with not_enough_memory if `memory` has no room.
auto ReadAnswerHead(Connection* connection,
                    AnswerParser* parser,
                    const MemoryBudget& memory)
    -> asio::awaitable<boost::system::error_code>;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ANSWER_HEAD_H_
