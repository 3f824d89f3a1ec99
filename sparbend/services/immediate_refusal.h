// Refuses a request at the lowest possible cost: one non-blocking read of what
// the kernel has buffered and one write, without a coroutine, timers or parsing
// of the body.
//
//   const BufferedInput input = ReadBufferedInput(socket.value());
//   if (input.kind == BufferedInput::Kind::kComplete)
//     WriteAndClose(std::move(socket), response);
//
// ReadAvailable, DiscardArrived and WriteRefusal serve requests that are
// refused by their header while the body may still arrive.
#ifndef SPARBEND_SERVICES_IMMEDIATE_REFUSAL_H_
#define SPARBEND_SERVICES_IMMEDIATE_REFUSAL_H_

#include <string_view>

#include "sparbend/kernel/http.h"
#include "sparbend/kernel/unique_fd.h"

namespace sparbend {

// What the kernel had received on a connection that was not read before.
struct BufferedInput {
  enum class Kind {
    kNoData,      // the client has not sent anything yet
    kClosed,      // the client closed the connection, or it broke
    kIncomplete,  // not exactly one complete request, or not HTTP
    kComplete,    // one request with all of its body
  };
  Kind kind = Kind::kNoData;
  http::request_header<> head;  // set for kComplete only
  std::string_view bytes;       // all that was read; valid until the next call
};

// Reads what has been received; never waits. Requests of more than 64 KiB, with
// a chunked body or with an Expect field are reported as kIncomplete.
auto ReadBufferedInput(int socket) -> BufferedInput;

// Reads up to `max_size` bytes that the kernel has received, at most 64 KiB;
// never waits. Empty if there are none. Valid until the next call.
auto ReadAvailable(int socket, size_t max_size) -> std::string_view;

// Writes `response`, which says that the connection will be closed. Returns
// false if the client is gone.
auto WriteRefusal(int socket, StringResponse response, bool with_body = true)
    -> bool;

// Reads and discards up to `limit` bytes that the kernel has received; never
// waits. Returns the number of bytes discarded.
auto DiscardArrived(int socket, uint64_t limit) -> uint64_t;

// Writes `response` and closes the connection. Returns false if the write
// failed because the client is gone. Call it only after kComplete: closing a
// connection with unread bytes resets it, and the client may lose the answer.
auto WriteAndClose(UniqueFd socket,
                   StringResponse response,
                   bool with_body = true) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_IMMEDIATE_REFUSAL_H_
