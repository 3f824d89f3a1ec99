// A line-based reading of server-sent events, enough to count them; the bytes
// themselves pass on untouched. The usage object is looked for in the last
// bytes only, because a whole answer need not be kept for it.
#include "sparbend/core/usage_meter.h"

#include <algorithm>

#include "sparbend/core/json.h"

namespace sparbend {
namespace {

constexpr size_t kTailBytes = 512;
constexpr size_t kLineBytes = 64;
constexpr std::string_view kUsage = "\"usage\":";
constexpr std::string_view kDone = "data: [DONE]";

auto NumberAt(const Json& object, const char* name) -> int64_t {
  const bool present =
      object.contains(name) && object[name].is_number_integer();
  return present ? std::max<int64_t>(0, object[name].get<int64_t>()) : 0;
}

}  // namespace

void UsageMeter::TakeLine() {
  if (!line_.empty() && line_.back() == '\r')
    line_.pop_back();
  if (line_.empty()) {
    if (in_event_) {
      ++events_;
      whole_bytes_ = bytes_;
      done_ = done_ || done_event_;
      if (!id_.empty())
        last_id_ = id_;
    }
    in_event_ = false;
    done_event_ = false;
    id_.clear();
    return;
  }
  in_event_ = in_event_ || line_.starts_with("data:");
  done_event_ = done_event_ || line_ == kDone;
  if (line_.starts_with("id: "))
    id_ = line_.substr(4);
}

void UsageMeter::DropPartial() {
  line_.clear();
  id_.clear();
  in_event_ = false;
  done_event_ = false;
}

void UsageMeter::Feed(std::string_view bytes) {
  for (const char byte : bytes) {
    ++bytes_;
    if (byte == '\n') {
      TakeLine();
      line_.clear();
    } else if (line_.size() < kLineBytes) {
      line_ += byte;
    }
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
  const size_t at = tail_.rfind(kUsage);
  if (at == std::string::npos)
    return {};
  const size_t begin = at + kUsage.size();
  const size_t end = tail_.find('}', begin);
  if (end == std::string::npos)
    return {};
  const Result<Json> usage =
      ParseJson(tail_.substr(begin, end + 1 - begin), kTailBytes);
  if (!usage || !usage->is_object())
    return {};
  return {NumberAt(*usage, "prompt_tokens"),
          NumberAt(*usage, "completion_tokens")};
}

}  // namespace sparbend
