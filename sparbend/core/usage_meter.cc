// Parses server-sent events line by line (a line ends with LF, CR or CRLF),
// only as far as needed to count the complete ones, read their ids, and find
// the end of the last complete event and the closing event. The bytes are
// forwarded unchanged. The usage object is searched only in the last bytes of
// the body, so that the meter doesn't have to store the response.
#include "sparbend/core/usage_meter.h"

#include <algorithm>
#include <optional>

#include "sparbend/core/json.h"

namespace sparbend {
namespace {

// The usage object is found if it lies in this many last bytes of the body; up
// to twice as many are stored and searched.
constexpr size_t kTailBytes = 512;
// Longer lines are truncated, as only field names, event ids and the closing
// line are needed.
constexpr size_t kMaxLineBytes = 64;
// A longer id is not kept: a request that names it might exceed what a target
// accepts as a header.
constexpr size_t kMaxEventIdBytes = 1'024;
// Enough to recognise an id that is too long.
constexpr size_t kMaxIdLineBytes = kMaxEventIdBytes + sizeof("id: ");
constexpr std::string_view kUsageKey = "\"usage\":";
constexpr std::string_view kClosingData = "[DONE]";

// The integer `name` of `object`, at least 0; 0 if it is missing or no integer.
auto ReadCount(const Json& object, const char* name) -> int64_t {
  const bool present =
      object.contains(name) && object[name].is_number_integer();
  return present ? std::max<int64_t>(0, object[name].get<int64_t>()) : 0;
}

// The value of the field `name` if `line` states it. One space after the colon
// is no part of the value.
auto ValueOf(std::string_view name, std::string_view line)
    -> std::optional<std::string_view> {
  if (!line.starts_with(name) || !line.substr(name.size()).starts_with(':'))
    return std::nullopt;
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' '))
    line.remove_prefix(1);
  return line;
}

}  // namespace

// An event that closes the stream states no piece of it, so it may be all that
// an interrupted answer lacked.
void UsageMeter::EndEvent() {
  if (events_ == earlier_events_)
    first_event_id_ = event_id_;
  if (has_long_id_)
    step_ = order_.NextUnknown();
  else if (!is_closing_event_ || !event_id_.empty())
    step_ = order_.Next(event_id_);
  if (step_ != EventStep::kGoesOn)
    return;
  ++events_;
  complete_bytes_ = bytes_;
  done_ = done_ || is_closing_event_;
}

void UsageMeter::EndLine(std::string_view line) {
  if (line.empty()) {
    if (has_data_)
      EndEvent();
    has_field_ = false;
    has_data_ = false;
    has_long_id_ = false;
    is_closing_event_ = false;
    event_id_.clear();
    return;
  }
  has_field_ = has_field_ || !line.starts_with(':');
  if (const auto data = ValueOf("data", line)) {
    has_data_ = true;
    is_closing_event_ = is_closing_event_ || *data == kClosingData;
  } else if (const auto id = ValueOf("id", line)) {
    // A client ignores an id with a NUL (HTML, section 9.2.6).
    if (id->find('\0') != std::string_view::npos)
      return;
    has_long_id_ = id->size() > kMaxEventIdBytes;
    if (has_long_id_)
      event_id_.clear();
    else
      event_id_ = *id;
  }
}

void UsageMeter::BeginContinuation() {
  earlier_events_ = events_;
  line_.clear();
  event_id_.clear();
  first_event_id_.clear();
  order_.BeginContinuation();
  step_ = EventStep::kGoesOn;
  has_long_id_ = false;
  has_field_ = false;
  has_data_ = false;
  is_closing_event_ = false;
  skips_line_feed_ = false;
}

auto UsageMeter::position() const -> StreamPosition {
  if (has_field_ || !line_.empty())
    return StreamPosition::kInsideEvent;
  if (done_)
    return StreamPosition::kAfterClosingEvent;
  return events_ > earlier_events_ ? StreamPosition::kAfterEvent
                                   : StreamPosition::kNoEvent;
}

void UsageMeter::SkipLineFeed(std::string_view* rest) {
  skips_line_feed_ = false;
  if (!rest->starts_with('\n'))
    return;
  // The line feed belongs to what the carriage return ended.
  if (complete_bytes_ == bytes_)
    ++complete_bytes_;
  ++bytes_;
  rest->remove_prefix(1);
}

void UsageMeter::Feed(std::string_view bytes) {
  if (step_ != EventStep::kGoesOn)
    return;
  for (std::string_view rest = bytes; !rest.empty();) {
    if (skips_line_feed_) {
      SkipLineFeed(&rest);
      continue;
    }
    const size_t line_feed = rest.find('\n');
    const size_t carriage_return = rest.substr(0, line_feed).find('\r');
    skips_line_feed_ = carriage_return != std::string_view::npos;
    const size_t end = skips_line_feed_ ? carriage_return : line_feed;
    const char first = line_.empty() ? rest.front() : line_.front();
    const size_t limit = first == 'i' ? kMaxIdLineBytes : kMaxLineBytes;
    const std::string_view part =
        rest.substr(0, std::min(end, limit - line_.size()));
    const bool ends_line = end != std::string_view::npos;
    // Usually whole lines arrive, and nothing has to be copied.
    const bool whole = ends_line && line_.empty();
    if (!whole)
      line_ += part;
    const size_t taken = ends_line ? end + 1 : rest.size();
    bytes_ += static_cast<int64_t>(taken);
    rest.remove_prefix(taken);
    if (!ends_line)
      break;
    EndLine(whole ? part : std::string_view(line_));
    line_.clear();
    if (step_ != EventStep::kGoesOn)
      return;
  }
  if (bytes.size() >= kTailBytes) {
    tail_ = bytes.substr(bytes.size() - kTailBytes);
    return;
  }
  tail_ += bytes;
  if (tail_.size() > 2 * kTailBytes)
    tail_.erase(0, tail_.size() - kTailBytes);
}

auto UsageMeter::FinalUsage() const -> Usage {
  const size_t key_at = tail_.rfind(kUsageKey);
  if (key_at == std::string::npos)
    return {};
  const size_t object_begin = key_at + kUsageKey.size();
  const size_t object_end = tail_.find('}', object_begin);
  if (object_end == std::string::npos)
    return {};
  const Result<Json> usage = ParseJson(
      tail_.substr(object_begin, object_end + 1 - object_begin), kTailBytes);
  if (!usage || !usage->is_object())
    return {};
  return {ReadCount(*usage, "prompt_tokens"),
          ReadCount(*usage, "completion_tokens")};
}

}  // namespace sparbend
