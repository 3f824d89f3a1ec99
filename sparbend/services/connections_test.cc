// Idle connections must be bounded over all targets, and closed in time even if
// their target is never used again: each takes a file descriptor.
#include "sparbend/services/connections.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr Millis kMaxIdleTime(4'000);

TEST_GROUP(Connections) {
  asio::io_context io;
  Connections connections{kMaxIdleTime};

  void Keep(TargetId target, Millis now) {
    connections.Keep(target, std::make_shared<Connection>(io.get_executor()),
                     now);
  }
};

TEST(Connections, IdleConnectionsAreBoundedOverAllTargets) {
  for (TargetId target = 0; target < 200; ++target) {
    for (int i = 0; i < 10; ++i)
      Keep(target, Millis(5'000));
  }
  LONGS_EQUAL(512, connections.idle());
}

TEST(Connections, ExpiredConnectionsAreClosedWhicheverTargetIsUsed) {
  for (TargetId target = 0; target < 100; ++target)
    Keep(target, Millis(5'000));
  LONGS_EQUAL(100, connections.idle());
  Keep(1'000, Millis(9'500));
  LONGS_EQUAL(1, connections.idle());
}

TEST_GROUP(CheckOfResetConnection){};

// Guards against a check that takes the report of a reset from the reader of
// the connection, who then sees an orderly end.
TEST(CheckOfResetConnection, LeavesTheResetToItsReader) {
  constexpr TargetId kTarget = 1;
  asio::io_context io;
  Connections connections(kMaxIdleTime);
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  const auto connection = std::make_shared<Connection>(io.get_executor());
  tcp::socket& socket = connection->stream.socket();
  socket.connect(acceptor.local_endpoint());
  connections.Register(kTarget, connection);
  tcp::socket peer = acceptor.accept();
  CHECK(connections.HasOpenSince(kTarget, Millis(0), Millis(0)));
  peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  CHECK_FALSE(connections.HasOpenSince(kTarget, Millis(0), Millis(0)));
  char byte = 0;
  boost::system::error_code error;
  socket.read_some(asio::buffer(&byte, 1), error);
  CHECK(error == asio::error::connection_reset);
}

TEST(CheckOfResetConnection, FindsOnlyOpenOnesWithNothingToRead) {
  enum class Peer { kSilent, kSends, kCloses };
  constexpr TargetId kTarget = 1;
  for (const Peer does : {Peer::kSilent, Peer::kSends, Peer::kCloses}) {
    asio::io_context io;
    Connections connections(kMaxIdleTime);
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto connection = std::make_shared<Connection>(io.get_executor());
    connection->stream.socket().connect(acceptor.local_endpoint());
    connections.Register(kTarget, connection);
    tcp::socket peer = acceptor.accept();
    if (does == Peer::kSends)
      asio::write(peer, asio::buffer("x", 1));
    if (does == Peer::kCloses)
      peer.close();
    CHECK_EQUAL(does == Peer::kSilent,
                connections.HasOpenSince(kTarget, Millis(0), Millis(0)));
  }
}

}  // namespace
}  // namespace sparbend
