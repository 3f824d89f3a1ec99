// The service "peers": JSON-RPC calls from box to box, for data that is too
// large for a datagram, such as log records, snapshots and service counters.
#ifndef SPARBEND_SERVICES_PEERS_H_
#define SPARBEND_SERVICES_PEERS_H_

#include <map>
#include <memory>
#include <string>

#include "sparbend/core/ids.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

// HTTP field with the proof that a request comes from a box.
inline constexpr std::string_view kPeerProofField = "Sparbend-Peer";
// The proof for a request with `body`: a hash of its HMAC under `key`, which
// all boxes share.
auto PeerProof(const std::string& key, const std::string& body) -> std::string;

// Time limit of a call between boxes. The response may be large, for example a
// snapshot.
inline constexpr Millis kPeerCallTimeout = Millis(2'000);

class Peers : public Service {
 public:
  Peers(Kernel* kernel, const Settings& settings);
  void Start() override;

  // Calls `method` at `box` and returns its result. kUnreachable if the box is
  // not listed, kRefused if the response has no result; other errors are those
  // of ParseAddress, HttpClient and ParseJson.
  auto Call(BoxId box,
            const std::string& method,
            const Json& params,
            Millis timeout = kPeerCallTimeout) -> asio::awaitable<Result<Json>>;

  // Like Call(), at the address (ip:port) of a listener of a box that answers
  // peer RPC. For a box that is not listed yet; Call() uses the
  // BoxEntry::admin_address of a listed one.
  auto CallAt(const std::string& address,
              const std::string& method,
              const Json& params,
              Millis timeout = kPeerCallTimeout)
      -> asio::awaitable<Result<Json>>;

  // Posts `body` with the peer proof to an admin path of `box`.
  auto Post(BoxId box, std::string path, std::string body, Millis timeout)
      -> asio::awaitable<Result<StringResponse>>;

  // The boxes that the platform lists, without this box; those of this hall
  // come first.
  auto Listed() const -> std::vector<BoxId>;

  // Those of Listed() that are not leaving and whose heartbeat has risen
  // recently (Members::IsLive).
  auto Live() const -> std::vector<BoxId>;

  // TCP payload bytes that this box has sent and received as a client of other
  // boxes so far, by calls and by Post().
  auto bytes() const -> uint64_t;

 private:
  auto PostAt(const std::string& address,
              std::string path,
              std::string body,
              Millis timeout) -> asio::awaitable<Result<StringResponse>>;

  Kernel* kernel_;
  std::string name_;
  std::string hall_;
  std::string key_;
  std::shared_ptr<Scheduler> scheduler_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;  // by address
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_PEERS_H_
