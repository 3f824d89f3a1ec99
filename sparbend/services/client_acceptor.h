// Takes callers' connections in as they come, and hands on as many in each turn
// of the loop as the box can serve (core/intake). Not a service of the kernel:
// the front owns it.
//
//   Accepting accepting(kernel, metrics, hooks);
//   if (std::error_code error = accepting.Listen(endpoint)) ...
//   kernel->Spawn("front-accept", accepting.Run());
#ifndef SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
#define SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "sparbend/core/accept_queue.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

struct AcceptingHooks {
  // Whether one more connection may be held, with `waiting` unread ones.
  std::function<bool(size_t waiting)> may_take;
  // Takes over a connection whose requests are to be served.
  std::function<void(tcp::socket)> serve;
  // Takes over a connection whose request is to be refused at once, since it
  // has waited for `waited`, or the box takes no more.
  std::function<void(tcp::socket, Millis waited)> refuse;
};

class ClientAcceptor {
 public:
  ClientAcceptor(Kernel* kernel,
                 std::shared_ptr<Metrics> metrics,
                 AcceptingHooks hooks);

  auto Listen(const tcp::endpoint& endpoint) -> std::error_code;
  // Runs until Close; then all that were taken in are refused.
  auto Run() -> asio::awaitable<void>;
  void Close();
  auto address() const -> std::string;

 private:
  struct Waiting {
    tcp::socket socket;
    Millis since;
  };

  void Take(tcp::socket socket);
  void TakeAll();
  void ServeTurn();
  void Serve(uint64_t caller);
  void Refuse(uint64_t caller);
  void NoteWaiting();

  Kernel* kernel_;
  std::shared_ptr<Metrics> metrics_;
  AcceptingHooks hooks_;
  tcp::acceptor acceptor_;
  AcceptQueue intake_;
  std::unordered_map<uint64_t, Waiting> waiting_;  // by the intake's number
  Millis noted_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
