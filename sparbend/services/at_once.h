// Answers a request at the least cost, for a box that can serve no more: from
// what has arrived, with one read and one write, without a coroutine, timers or
// a look at the body.
//
//   const Arrived arrived = ReadArrived(&socket);
//   if (arrived.kind == Arrived::Kind::kWhole)
//     AnswerAndClose(&socket, response);
#ifndef SPARBEND_SERVICES_AT_ONCE_H_
#define SPARBEND_SERVICES_AT_ONCE_H_

#include <string_view>

#include "sparbend/kernel/http.h"

namespace sparbend {

// What a connection that was never read holds.
struct Arrived {
  enum class Kind {
    kNothing,  // the caller has not sent anything yet
    kLeft,     // the caller has closed it, or it broke
    kPart,     // bytes that are no whole request, or none at all
    kWhole,    // one request and all of its body
  };
  Kind kind = Kind::kNothing;
  http::request_header<> head;  // of a whole request
  std::string_view bytes;       // all that was read; until the next call
};

// Takes what has arrived; never waits. Bodies of over 60 KB or of unknown
// length are left as kPart.
auto ReadArrived(tcp::socket* socket) -> Arrived;

// Writes `response` and ends the connection; false if the caller is gone. Only
// after kWhole: a connection closed with bytes unread would lose the answer.
auto AnswerAndClose(tcp::socket* socket, StringResponse response) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_AT_ONCE_H_
