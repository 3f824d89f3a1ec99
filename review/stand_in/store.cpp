#include "store.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <thread>

namespace review {
namespace {

constexpr size_t kMaxItems = 500;

auto Base64(const std::string& bytes) -> std::string {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](size_t j) {
      return j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U;
    };
    const unsigned group = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    text += kDigits[group >> 18 & 63];
    text += kDigits[group >> 12 & 63];
    text += i + 1 < bytes.size() ? kDigits[group >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? kDigits[group & 63] : '=';
  }
  return text;
}

auto BigEndian(uint64_t number, int size) -> std::string {
  std::string bytes;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    bytes += static_cast<char>(number >> shift & 0xff);
  return bytes;
}

}  // namespace

Store::Store(Record* record) : record_(record) {
  const int listener = Listen(0);
  port_ = PortOf(listener);
  std::thread([this, listener] { Accept(listener); }).detach();
}

void Store::Accept(int listener) {
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0)
      std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Store::Serve(int fd) {
  Channel channel(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  while (true) {
    const auto head = channel.ReadHead(NowMs() + 120'000);
    if (!head)
      return;
    Request request = ParseRequestHead(*head);
    if (!channel.ReadBody(
            request.fields, NowMs() + 10'000,
            [&](const std::string& piece) { request.body += piece; }) ||
        !channel.Write(Answer(request)))
      return;
  }
}

auto Store::Compose(const std::string& status,
                    const std::string& type,
                    const std::string& body) const -> std::string {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
         "\r\nStore-Era: " + std::to_string(era_) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

auto Store::Answer(const Request& request) -> std::string {
  SleepMs(4);
  {
    const std::lock_guard lock(mutex_);
    if (away_)
      return Compose("503 Service Unavailable", "application/json", "{}");
  }
  if (request.target.starts_with("/api/log-newest"))
    return Newest(request);
  if (request.target.starts_with("/api/log-read"))
    return Read(request);
  if (request.target.starts_with("/api/log-append"))
    return Append(request);
  return Compose("404 Not Found", "application/json", "{}");
}

auto Store::Newest(const Request& request) -> std::string {
  const std::lock_guard lock(mutex_);
  const std::vector<Entry>& entries = topics_[QueryOf(request.target, "topic")];
  const std::string after = QueryOf(request.target, "after-rev");
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].value.empty())
      newest.erase(entries[i].key);
    else
      newest[entries[i].key] = i;
  }
  std::string items;
  size_t count = 0;
  bool more = false;
  for (const auto& [key, offset] : newest) {
    if (!after.empty() && key <= after)
      continue;
    if (count == kMaxItems) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",");
    items += "{\"key\":\"" + key + "\",\"value\":\"" +
             Base64(entries[offset].value) +
             "\",\"offset\":" + std::to_string(offset) + "}";
  }
  return Compose("200 OK", "application/json",
                 "{\"items\":[" + items +
                     "],\"has-more\":" + (more ? "true" : "false") +
                     ",\"end-offset\":" + std::to_string(entries.size()) + "}");
}

auto Store::Read(const Request& request) -> std::string {
  const std::string topic = QueryOf(request.target, "topic");
  const auto from =
      static_cast<size_t>(std::stoll(QueryOf(request.target, "from")));
  const std::string wait = QueryOf(request.target, "wait-ms");
  std::unique_lock lock(mutex_);
  const auto ready = [&] { return away_ || topics_[topic].size() != from; };
  if (!wait.empty())
    changed_.wait_for(lock, Ms(std::stoll(wait)), ready);
  if (away_)
    return Compose("503 Service Unavailable", "application/json", "{}");
  const std::vector<Entry>& entries = topics_[topic];
  if (from > entries.size())
    return Compose("410 Gone", "application/json", "{\"first\":0}");
  std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
  for (size_t i = from; i < entries.size(); ++i) {
    const Entry& entry = entries[i];
    body += BigEndian(1 + entry.key.size() + entry.value.size(), 4) +
            BigEndian(entry.key.size(), 1) + entry.key + entry.value;
  }
  return Compose("200 OK", "application/octet-stream", body);
}

auto Store::Append(const Request& request) -> std::string {
  const std::string topic = QueryOf(request.target, "topic");
  const std::lock_guard lock(mutex_);
  std::vector<Entry>& entries = topics_[topic];
  const size_t offset = entries.size();
  const std::string& body = request.body;
  for (size_t at = 0; at + 5 <= body.size();) {
    size_t size = 0;
    for (int i = 0; i < 4; ++i)
      size = size << 8 | static_cast<unsigned char>(body[at + i]);
    const size_t key = static_cast<unsigned char>(body[at + 4]);
    entries.push_back({body.substr(at + 5, key),
                       body.substr(at + 5 + key, size - 1 - key), NowMs()});
    at += 4 + size;
  }
  changed_.notify_all();
  return Compose("200 OK", "application/json",
                 "{\"offset\":" + std::to_string(offset) +
                     ",\"end-offset\":" + std::to_string(entries.size()) + "}");
}

auto Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) -> int64_t {
  const std::lock_guard lock(mutex_);
  if (away_)
    return -1;
  topics_[topic].push_back({key, value, NowMs()});
  changed_.notify_all();
  return NowMs();
}

void Store::GoAway() {
  const std::lock_guard lock(mutex_);
  away_ = true;
  away_since_ = NowMs();
  changed_.notify_all();
  record_->Line("store: away");
}

void Store::ReturnFromCopy(int64_t age_ms) {
  const std::lock_guard lock(mutex_);
  ++era_;
  away_ = false;
  for (auto& [topic, entries] : topics_) {
    const size_t before = entries.size();
    std::erase_if(entries, [&](const Entry& entry) {
      return entry.written_at > away_since_ - age_ms;
    });
    record_->Line("store: back from a copy, era " + std::to_string(era_) +
                  ", topic " + topic + " ends at " +
                  std::to_string(entries.size()) + " instead of " +
                  std::to_string(before));
  }
}

auto Store::EndOf(const std::string& topic) -> int64_t {
  const std::lock_guard lock(mutex_);
  return static_cast<int64_t>(topics_[topic].size());
}

}  // namespace review
