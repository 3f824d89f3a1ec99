// A stand-in of the platform's store: keyed topics, by PROTOCOL.md. It can be
// away, and come back from a copy that is some seconds old.
#ifndef REVIEW_STAND_IN_STORE_HPP_
#define REVIEW_STAND_IN_STORE_HPP_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.hpp"
#include "record.hpp"

namespace review {

class Store {
 public:
  explicit Store(Record* record);

  auto port() const -> int { return port_; }
  // Writes a record; an empty value drops the key. Returns the time of the
  // acknowledgement, or -1 while the store is away.
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> int64_t;
  // From now on calls get 503.
  void GoAway();
  // The store answers again, without what was written in the last `age_ms`
  // before it went away, and in a new era.
  void ReturnFromCopy(int64_t age_ms);
  // The offset of the topic's next record.
  auto EndOf(const std::string& topic) -> int64_t;

 private:
  struct Entry {
    std::string key;
    std::string value;
    int64_t written_at = 0;
  };

  void Accept(int listener);
  void Serve(int fd);
  auto Answer(const Request& request) -> std::string;
  auto Newest(const Request& request) -> std::string;
  auto Read(const Request& request) -> std::string;
  auto Append(const Request& request) -> std::string;
  auto Compose(const std::string& status,
               const std::string& type,
               const std::string& body) const -> std::string;

  Record* record_;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  bool away_ = false;
  int64_t away_since_ = 0;
  int era_ = 1;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_STORE_HPP_
