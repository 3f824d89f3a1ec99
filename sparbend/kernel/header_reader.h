// Reads the header of a request or an answer like http::async_read_header, and
// looks at each step of it.
//
//   const auto error = co_await ReadMessageHeader(&stream, &buffer, &parser,
//                                                 check);
#ifndef SPARBEND_KERNEL_HEADER_READER_H_
#define SPARBEND_KERNEL_HEADER_READER_H_

#include <algorithm>
#include <functional>
#include <string_view>

#include "sparbend/kernel/http.h"

namespace sparbend {

// Called with what is to be parsed next, after each read. An error ends the
// read.
using HeaderCheck =
    std::function<boost::system::error_code(std::string_view unparsed)>;

// Fails with http::error::partial_message or end_of_stream if the connection
// ends, with buffer_overflow if the buffer is full, with the errors of the
// parser and of `check`. Adds the bytes that the parser has taken to `*taken`;
// null: they are not counted.
template <class Parser>
auto ReadMessageHeader(beast::tcp_stream* stream,
                       beast::flat_buffer* buffer,
                       Parser* parser,
                       HeaderCheck check,
                       uint64_t* taken = nullptr)
    -> asio::awaitable<boost::system::error_code> {
  constexpr size_t kReadBytes = 4'096;
  while (true) {
    const asio::const_buffer unparsed = buffer->cdata();
    boost::system::error_code error =
        check({static_cast<const char*>(unparsed.data()), unparsed.size()});
    if (error)
      co_return error;
    error = http::error::need_more;
    if (unparsed.size() > 0) {
      const size_t size = parser->put(unparsed, error);
      buffer->consume(size);
      if (taken != nullptr)
        *taken += size;
    }
    if (parser->is_header_done() || (error && error != http::error::need_more))
      co_return error;
    const size_t room = buffer->max_size() - buffer->size();
    if (room == 0)
      co_return http::error::buffer_overflow;
    const auto [failed, size] = co_await stream->async_read_some(
        buffer->prepare(std::min(kReadBytes, room)), kAwait);
    buffer->commit(size);
    if (failed == asio::error::eof)
      co_return parser->got_some() ? http::error::partial_message
                                   : http::error::end_of_stream;
    if (failed)
      co_return failed;
  }
}

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_HEADER_READER_H_
