#include "sparbend/kernel/socket_peek.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(SocketPeek){};

TEST(SocketPeek, UnacknowledgedBytesAreThoseThatThePeerHasNoRoomFor) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  CHECK_EQUAL(0, UnacknowledgedBytes(socket));
  socket.non_blocking(true);
  const std::string bytes(64 * 1024, 'x');
  boost::system::error_code error;
  while (!error)
    socket.write_some(asio::buffer(bytes), error);
  CHECK(UnacknowledgedBytes(socket) > 0);
}

}  // namespace
}  // namespace sparbend
