// A body for Beast's parsers that is kept in one string, and that asks before
// the string allocates.
//
//   http::request_parser<ReservedBody> parser;
//   parser.get().body().reserve = [&](size_t bytes) { return ...; };
//
// A body whose reservation fails ends the read with errc::not_enough_memory.
#ifndef SPARBEND_KERNEL_RESERVED_BODY_H_
#define SPARBEND_KERNEL_RESERVED_BODY_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>

namespace sparbend {

struct ReservedBody {
  struct value_type {  // NOLINT(readability-identifier-naming): Beast's name
    std::string bytes;
    // Reserves what the body allocates from now on, in place of what was
    // reserved for it before. Always true for less than before. Not set: there
    // is no limit.
    std::function<bool(size_t bytes)> reserve;
  };

  static auto size(const value_type& body) -> uint64_t {
    return body.bytes.size();
  }

  // Called by the parser; see Beast's BodyReader.
  class reader {  // NOLINT(readability-identifier-naming): Beast's name
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body)
        : body_(&body) {}

    void init(const boost::optional<uint64_t>& length,
              boost::beast::error_code& error) {
      error = {};
      if (length)
        Allocate(static_cast<size_t>(*length), &error);
    }

    template <class ConstBufferSequence>
    auto put(const ConstBufferSequence& buffers,
             boost::beast::error_code& error) -> size_t {
      error = {};
      const size_t size = boost::beast::buffer_bytes(buffers);
      const size_t needed = body_->bytes.size() + size;
      const size_t capacity = body_->bytes.capacity();
      if (needed > capacity)
        Allocate(std::max(needed, 2 * capacity), &error);
      if (error)
        return 0;
      for (const auto& buffer : boost::beast::buffers_range_ref(buffers))
        body_->bytes.append(static_cast<const char*>(buffer.data()),
                            buffer.size());
      return size;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    // Both the old and the new block exist while the bytes are copied.
    void Allocate(size_t capacity, boost::beast::error_code* error) {
      std::string& bytes = body_->bytes;
      if (capacity <= bytes.capacity())
        return;
      // An empty string has no block of its own yet.
      if (!Reserve(capacity + (bytes.empty() ? 0 : bytes.capacity()))) {
        *error = make_error_code(boost::system::errc::not_enough_memory);
        return;
      }
      bytes.reserve(capacity);
      Reserve(capacity);
    }
    auto Reserve(size_t bytes) -> bool {
      return !body_->reserve || body_->reserve(bytes);
    }

    value_type* body_;
  };
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_RESERVED_BODY_H_
