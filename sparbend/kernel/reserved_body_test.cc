// Random chunks against what a string of that size needs.
#include "sparbend/kernel/reserved_body.h"

#include <vector>

#include "testing/properties.h"

namespace sparbend {
namespace {

namespace http = boost::beast::http;

TEST_GROUP(ReservedBody){};

TEST(ReservedBody, ReservesWhatItAllocatesBeforeItDoes) {
  testing::CheckHolds("reservations cover the capacity", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto limit = *rc::gen::inRange<size_t>(0, 2'000);
    http::header<true, http::fields> header;
    ReservedBody::value_type body;
    size_t reserved = 0;
    body.reserve = [&](size_t bytes) {
      const bool fits = bytes <= std::max(limit, reserved);
      reserved = fits ? bytes : reserved;
      return fits;
    };
    const size_t without_heap = body.bytes.capacity();
    ReservedBody::reader reader(header, body);
    boost::beast::error_code error;
    reader.init(boost::none, error);
    std::string expected;
    for (const std::string& piece : pieces) {
      reader.put(boost::asio::buffer(piece), error);
      if (error)
        break;
      expected += piece;
      RC_ASSERT(body.bytes.capacity() <= std::max(reserved, without_heap));
    }
    RC_ASSERT(body.bytes == expected);
    RC_ASSERT(reserved <= limit);
  });
}

TEST(ReservedBody, ReservesAStatedLengthAtOnce) {
  struct Row {
    uint64_t length;
    size_t limit;
    bool fits;
  };
  const Row rows[] = {{1'000, 2'000, true},
                      {2'000, 1'000, false},
                      {UINT64_MAX / 2, 1'000, false}};
  for (const Row& row : rows) {
    http::header<true, http::fields> header;
    ReservedBody::value_type body;
    body.reserve = [&](size_t bytes) { return bytes <= row.limit; };
    ReservedBody::reader reader(header, body);
    boost::beast::error_code error;
    reader.init(row.length, error);
    CHECK_EQUAL(row.fits, !error);
    CHECK_EQUAL(row.fits, body.bytes.capacity() >= row.length);
  }
}

}  // namespace
}  // namespace sparbend
