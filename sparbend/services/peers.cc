#include "sparbend/services/peers.h"

#include <algorithm>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/rpc.h"

namespace sparbend {
namespace {

constexpr size_t kHmacBytes = 16;
// Lists and catalogs of a whole fleet, whose records have 256 KiB at most.
constexpr size_t kMaxResponseBytes = 16 * 1024 * 1024;

}  // namespace

auto PeerProof(const std::string& key, const std::string& body) -> std::string {
  return Sha256Hex(HmacTag(key, body, kHmacBytes));
}

Peers::Peers(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      name_(settings.name),
      hall_(settings.hall),
      key_(settings.peer_key) {}

void Peers::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
}

auto Peers::PostAt(const std::string& address,
                   std::string path,
                   std::string body,
                   Millis timeout) -> asio::awaitable<Result<StringResponse>> {
  const Result<tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint)
    co_return endpoint.error();
  std::unique_ptr<HttpClient>& client = clients_[address];
  if (!client)
    client = std::make_unique<HttpClient>(
        *endpoint, "sparbend/" + name_,
        AnswerLimits{.body_bytes = kMaxResponseBytes,
                     .memory = kernel_->memory()});
  StringRequest request(http::verb::post, path, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.set(std::string(kPeerProofField), PeerProof(key_, request.body()));
  co_return co_await client->Call(std::move(request), timeout);
}

auto Peers::Post(BoxId box, std::string path, std::string body, Millis timeout)
    -> asio::awaitable<Result<StringResponse>> {
  const BoxEntry* entry = scheduler_->node().members().Find(box);
  if (entry == nullptr)
    co_return MakeError(Errc::kUnreachable, "the box is not listed");
  const std::string address = entry->admin_address;
  co_return co_await PostAt(address, std::move(path), std::move(body), timeout);
}

auto Peers::CallAt(const std::string& address,
                   const std::string& method,
                   const Json& params,
                   Millis timeout) -> asio::awaitable<Result<Json>> {
  const std::string body = EncodeRpcRequest(method, params.dump());
  const Result<StringResponse> response =
      co_await PostAt(address, "/rpc", body, timeout);
  if (!response)
    co_return response.error();
  Result<Json> parsed = ParseJson(response->body(), kMaxResponseBytes);
  if (!parsed)
    co_return parsed.error();
  if (!parsed->is_object() || !parsed->contains("result"))
    co_return MakeError(Errc::kRefused,
                        "the JSON-RPC response has no field \"result\"");
  co_return std::move(parsed->at("result"));
}

auto Peers::Call(BoxId box,
                 const std::string& method,
                 const Json& params,
                 Millis timeout) -> asio::awaitable<Result<Json>> {
  const BoxEntry* entry = scheduler_->node().members().Find(box);
  if (entry == nullptr)
    co_return MakeError(Errc::kUnreachable, "the box is not listed");
  const std::string address = entry->admin_address;
  co_return co_await CallAt(address, method, params, timeout);
}

auto Peers::Live() const -> std::vector<BoxId> {
  const Members& members = scheduler_->node().members();
  std::vector<BoxId> live = Listed();
  std::erase_if(
      live, [&](BoxId box) { return !members.IsLive(box, kernel_->Now()); });
  return live;
}

auto Peers::Listed() const -> std::vector<BoxId> {
  std::vector<BoxId> same_hall;
  std::vector<BoxId> other_halls;
  for (const BoxEntry& box : scheduler_->node().members().list().boxes) {
    if (box.name != name_)
      (box.hall == hall_ ? same_hall : other_halls)
          .push_back(BoxIdOf(box.name));
  }
  same_hall.insert(same_hall.end(), other_halls.begin(), other_halls.end());
  return same_hall;
}

auto Peers::bytes() const -> uint64_t {
  uint64_t sum = 0;
  for (const auto& [address, client] : clients_)
    sum += client->bytes();
  return sum;
}

}  // namespace sparbend
