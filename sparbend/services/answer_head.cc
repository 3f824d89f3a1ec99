// RFC 9112, section 5.2, lets a proxy replace an answer with folded lines by a
// 502, or join the lines. A line that begins with a blank may also be a broken
// field, and joining it would change the field before it and lose its own
// meaning, such as the length of the body.
#include "sparbend/services/answer_head.h"

#include <string_view>

#include "sparbend/kernel/header_reader.h"

namespace sparbend {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Whether a line of the head that begins in `bytes` begins with a blank.
auto HasFoldedLine(std::string_view bytes) -> bool {
  const std::string_view head = bytes.substr(0, bytes.find(kHeadEnd));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

auto ReadAnswerHead(Connection* connection,
                    AnswerParser* parser,
                    const MemoryBudget& memory)
    -> asio::awaitable<boost::system::error_code> {
  // The parser keeps a line until it has the beginning of the next one, so a
  // folded line is in the buffer as a whole.
  const auto check = [&memory](std::string_view unparsed) {
    boost::system::error_code error;
    if (HasFoldedLine(unparsed))
      error = http::error::bad_obs_fold;
    else if (!memory.HasRoom(MemoryBudget::Use::kRequest, 0))
      error = make_error_code(boost::system::errc::not_enough_memory);
    return error;
  };
  co_return co_await ReadMessageHeader(&connection->stream, &connection->buffer,
                                       parser, check);
}

}  // namespace sparbend
