// The service "metrics": the Prometheus metrics of a box. Each member is one
// metric; metrics.cc has its outer name and help text, and docs/OPERATIONS.md
// describes all of them.
#ifndef SPARBEND_SERVICES_METRICS_H_
#define SPARBEND_SERVICES_METRICS_H_

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "sparbend/kernel/kernel.h"
#include "sparbend/services/control_work.h"

namespace sparbend {

class Metrics : public Service {
 public:
  Metrics();

  // All metrics in the Prometheus text format.
  auto Render() const -> std::string;

  // Counts a response to a client by HTTP status and by the verdict sent with
  // it.
  void CountAnswer(int status, std::string_view verdict);

  // Counts an answer of a target by what delimited its body, by where its
  // stream of events ended, and by whether it was complete.
  void CountTargetAnswer(std::string_view framing,
                         std::string_view position,
                         bool complete);
  // Counts a check whether a target still ran after the connection of its
  // answer had ended, by what it found.
  void CountEndCheck(std::string_view target);

  // Adds processor time of control work; see ControlTimer.
  void CountControlWork(ControlWork work, int64_t micros);
  auto ControlWorkMicros(ControlWork work) const -> double;

  // Counts a stream that a client resumes by whether it may go on, and by where
  // its origin was found.
  void CountContinuation(std::string_view outcome, std::string_view found);

  // Counts an answer that should continue a stream and does not, by the reason.
  void CountRejectedContinuation(std::string_view reason);

  prometheus::Counter& retries;
  prometheus::Counter& resumes;
  prometheus::Counter& retries_denied;
  prometheus::Counter& connections;  // opened to targets
  prometheus::Counter& foreign_answers;
  prometheus::Counter& unacknowledged_requests;
  prometheus::Counter& ejections;
  prometheus::Counter& runs_ended_with_target;
  prometheus::Counter& quarantine_refusals;
  prometheus::Counter& list_refusals;
  prometheus::Counter& backoffs_asked;
  prometheus::Counter& returns_assigned;
  prometheus::Counter& returns_on_time;
  prometheus::Counter& returns_early;
  prometheus::Counter& no_return_in_time;
  prometheus::Counter& store_calls;
  prometheus::Counter& store_failures;
  prometheus::Counter& caller_left;
  prometheus::Counter&
      connections_refused;  // of clients, closed without being read
  // Of clients, at the connection limit: closed while idle, closed during a
  // request that arrived slowly, chosen but kept because bytes had arrived, and
  // accepted in the reserve to be refused.
  prometheus::Counter& idle_connections_closed;
  prometheus::Counter& slow_connections_closed;
  prometheus::Counter& connections_spared;
  prometheus::Counter& connections_over_limit;
  // Answers that the box read ahead of their client, and pieces of them for
  // which there was no room in the budget.
  prometheus::Counter& slow_clients;
  prometheus::Counter& send_budget_refused;
  prometheus::Counter& tokens;
  prometheus::Counter& peer_bytes_sent;  // IP and UDP headers included
  prometheus::Counter& peer_datagrams_sent;
  prometheus::Counter& peer_datagrams_refused;
  prometheus::Counter& control_cpu_us;  // scheduling and exchange of datagrams
  prometheus::Counter& platform_bytes;
  prometheus::Counter& claims_won;
  prometheus::Counter& claims_lost;
  prometheus::Counter& claim_appends;
  prometheus::Gauge& callers_waiting;     // accepted connections not read yet
  prometheus::Gauge& client_connections;  // without those of the reserve
  prometheus::Gauge& client_connections_idle;
  prometheus::Gauge& client_connections_limit;
  prometheus::Gauge& queued;
  prometheus::Gauge& in_flight;
  prometheus::Gauge& config_offset;
  prometheus::Gauge& store_era;
  prometheus::Gauge& evacuated_halls;
  prometheus::Gauge& quarantined;
  prometheus::Gauge& slow_engines;
  prometheus::Gauge& live_boxes;
  prometheus::Gauge& stream_origins;  // streams whose origin is known here
  prometheus::Gauge& fleet_sum_age;
  prometheus::Gauge& read_delay;
  prometheus::Gauge& log_lines_dropped;
  prometheus::Histogram& queue_seconds;
  prometheus::Histogram& first_byte_seconds;
  // Time from the last list that had a target as usable to the first that did
  // not: an upper bound on the delay of its withdrawal.
  prometheus::Histogram& withdrawal_seconds;
  // Time from the first report of a peer that has newer records of operators to
  // the use of the configuration in them. Zero if this box read them first.
  prometheus::Histogram& configuration_lag_seconds;
  // Time from a target's first rejection with Retry-After to the last one
  // within the time that it asked for: how late a request still reached it.
  prometheus::Histogram& backoff_last_refusal_seconds;

 private:
  explicit Metrics(std::shared_ptr<prometheus::Registry> registry);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& target_answers_;
  prometheus::Family<prometheus::Counter>& end_checks_;
  prometheus::Family<prometheus::Counter>& continuations_;
  prometheus::Family<prometheus::Counter>& rejected_continuations_;
  std::array<prometheus::Counter*, kControlWorkCount> control_work_{};
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_METRICS_H_
