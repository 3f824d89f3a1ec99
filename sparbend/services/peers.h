// The service "peers": JSON-RPC calls from box to box, for what is too large
// for a datagram: log records, snapshots, the books of service.
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

// The field that carries the proof that a call comes from a box.
inline constexpr std::string_view kPeerProofField = "Sparbend-Peer";
auto PeerProof(const std::string& key, const std::string& body) -> std::string;

// A call between boxes; bulk may be handed over in it.
inline constexpr Millis kPeerCallTime = Millis(2'000);

class Peers : public Service {
 public:
  Peers(Kernel* kernel, const Settings& settings);
  void Start() override;

  // Calls `method` at `box`; the result, or why there is none.
  auto Call(BoxId box,
            const std::string& method,
            const Json& params,
            Millis timeout = kPeerCallTime) -> asio::awaitable<Result<Json>>;

  // The same at a peer RPC address, for a box that is not listed yet.
  auto CallAt(const std::string& address,
              const std::string& method,
              const Json& params,
              Millis timeout = kPeerCallTime) -> asio::awaitable<Result<Json>>;

  // Posts `body` with the peer proof to an admin path of `box`.
  auto Post(BoxId box, std::string path, std::string body, Millis timeout)
      -> asio::awaitable<Result<StringResponse>>;

  // Boxes the platform lists, this hall's first, without this box.
  auto Listed() const -> std::vector<BoxId>;

  // Listed boxes that live by what was heard, without this box.
  auto Live() const -> std::vector<BoxId>;

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
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_PEERS_H_
