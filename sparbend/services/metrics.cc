#include "sparbend/services/metrics.h"

#include <prometheus/text_serializer.h>

namespace sparbend {
namespace {

auto NewCounter(prometheus::Registry& registry,
                const std::string& name,
                const std::string& help) -> prometheus::Counter& {
  return prometheus::BuildCounter()
      .Name("sparbend_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

auto NewGauge(prometheus::Registry& registry,
              const std::string& name,
              const std::string& help) -> prometheus::Gauge& {
  return prometheus::BuildGauge()
      .Name("sparbend_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

// Upper bounds in seconds; so are those below.
auto RequestTimeBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.001, 0.005, 0.02, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 10, 60};
}

auto BackoffBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4};
}

auto WithdrawalBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4, 8};
}

auto ConfigurationLagBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5};
}

}  // namespace

Metrics::Metrics() : Metrics(std::make_shared<prometheus::Registry>()) {}

Metrics::Metrics(std::shared_ptr<prometheus::Registry> registry)
    : retries(NewCounter(*registry, "retries_total", "Attempts made again")),
      resumes(NewCounter(*registry, "resumes_total", "Streams taken up again")),
      retries_denied(NewCounter(*registry,
                                "retries_denied_total",
                                "Attempts not made again for lack of budget")),
      connections(NewCounter(*registry,
                             "target_connections_total",
                             "Connections opened to targets")),
      foreign_answers(NewCounter(*registry,
                                 "foreign_answers_total",
                                 "Answers that belonged to no request")),
      unacknowledged_requests(
          NewCounter(*registry,
                     "unacknowledged_requests_total",
                     "Attempts that ended with unacknowledged bytes")),
      ejections(NewCounter(*registry,
                           "target_ejections_total",
                           "Targets left out for a while")),
      runs_ended_with_target(
          NewCounter(*registry,
                     "runs_ended_with_target_total",
                     "Requests at targets that ended while they had them")),
      quarantine_refusals(
          NewCounter(*registry,
                     "quarantine_refusals_total",
                     "Requests not sent, since targets ended under them")),
      list_refusals(NewCounter(
          *registry,
          "list_refusals_total",
          "Requests not sent, since the list of targets was out of date")),
      backoffs_asked(NewCounter(*registry,
                                "backoffs_asked_total",
                                "Refusals of targets with Retry-After")),
      returns_assigned(
          NewCounter(*registry,
                     "returns_assigned_total",
                     "Refused requests to which room was assigned")),
      returns_on_time(
          NewCounter(*registry,
                     "returns_on_time_total",
                     "Clients that came back at the time that they were told")),
      returns_early(NewCounter(
          *registry,
          "returns_early_total",
          "Attempts refused since they came before the time that was told")),
      no_return_in_time(
          NewCounter(*registry,
                     "no_return_in_time_total",
                     "Refused requests without room within their time")),
      store_calls(NewCounter(*registry,
                             "store_calls_total",
                             "Calls to the platform's store")),
      store_failures(NewCounter(*registry,
                                "store_failures_total",
                                "Calls to the store without a good answer")),
      caller_left(NewCounter(*registry,
                             "caller_left_total",
                             "Callers gone before their answer was whole")),
      connections_refused(NewCounter(*registry,
                                     "connections_refused_total",
                                     "Callers' connections closed unread")),
      idle_connections_closed(
          NewCounter(*registry,
                     "idle_connections_closed_total",
                     "Idle connections closed for new callers")),
      slow_connections_closed(
          NewCounter(*registry,
                     "slow_connections_closed_total",
                     "Connections with a slow request closed for new callers")),
      connections_spared(
          NewCounter(*registry,
                     "connections_spared_total",
                     "Connections kept, since a request had just arrived")),
      connections_over_limit(
          NewCounter(*registry,
                     "connections_over_limit_total",
                     "Connections taken beyond the limit to be refused")),
      slow_clients(NewCounter(*registry,
                              "slow_callers_total",
                              "Answers read ahead of a caller that was slow")),
      send_budget_refused(
          NewCounter(*registry,
                     "send_budget_refused_total",
                     "Waits for a slow caller for lack of room to read on")),
      tokens(NewCounter(*registry, "tokens_total", "Service tokens relayed")),
      peer_bytes_sent(NewCounter(*registry,
                                 "peer_bytes_sent_total",
                                 "Bytes to other boxes, headers included")),
      peer_datagrams_sent(NewCounter(*registry,
                                     "peer_datagrams_sent_total",
                                     "Datagrams to other boxes")),
      peer_datagrams_refused(NewCounter(*registry,
                                        "peer_datagrams_refused_total",
                                        "Datagrams not taken")),
      control_cpu_us(NewCounter(*registry,
                                "control_cpu_us_total",
                                "Processor time of control, microseconds")),
      platform_bytes(NewCounter(*registry,
                                "platform_bytes_total",
                                "Bytes to and from the platform")),
      claims_won(NewCounter(*registry, "claims_won_total", "Claims won")),
      claims_lost(NewCounter(*registry, "claims_lost_total", "Claims lost")),
      claim_appends(NewCounter(*registry,
                               "claim_appends_total",
                               "Appends of claims to the log")),
      callers_waiting(NewGauge(*registry,
                               "callers_waiting",
                               "Callers connected and not read yet")),
      client_connections(NewGauge(*registry,
                                  "client_connections",
                                  "Callers' connections within the limit")),
      client_connections_idle(NewGauge(*registry,
                                       "client_connections_idle",
                                       "Callers' connections without request")),
      client_connections_limit(
          NewGauge(*registry,
                   "client_connections_limit",
                   "Callers' connections that may be open")),
      queued(NewGauge(*registry, "queued", "Requests waiting here")),
      in_flight(NewGauge(*registry, "in_flight", "Requests at targets")),
      config_offset(
          NewGauge(*registry, "config_offset", "Next log record to fold")),
      store_era(
          NewGauge(*registry,
                   "store_era",
                   "How often the platform's store came back from a copy, "
                   "as it counts them")),
      evacuated_halls(NewGauge(*registry,
                               "evacuated_halls",
                               "Halls in which no new work starts")),
      quarantined(NewGauge(*registry,
                           "quarantined",
                           "Requests that are not sent for now, since targets "
                           "ended under them")),
      slow_engines(NewGauge(*registry,
                            "slow_engines",
                            "Engines whose streams here are slow now, compared "
                            "with their own past")),
      live_boxes(NewGauge(*registry, "live_boxes", "Boxes heard of lately")),
      stream_origins(NewGauge(*registry,
                              "stream_origins",
                              "Streams whose origin is known here")),
      fleet_sum_age(NewGauge(*registry,
                             "fleet_sum_age_seconds",
                             "Age of what is known of other boxes' work, in a "
                             "fleet that adds up by halls")),
      read_delay(NewGauge(*registry,
                          "read_delay_seconds",
                          "How long datagrams of other boxes wait unread")),
      log_lines_dropped(
          NewGauge(*registry,
                   "log_lines_dropped",
                   "Log lines that a slow reader had no room for")),
      queue_seconds(prometheus::BuildHistogram()
                        .Name("sparbend_queue_seconds")
                        .Help("Time from receipt to dispatch")
                        .Register(*registry)
                        .Add({}, RequestTimeBuckets())),
      first_byte_seconds(
          prometheus::BuildHistogram()
              .Name("sparbend_first_byte_seconds")
              .Help("Time from receipt to the answer's first byte")
              .Register(*registry)
              .Add({}, RequestTimeBuckets())),
      withdrawal_seconds(prometheus::BuildHistogram()
                             .Name("sparbend_withdrawal_seconds")
                             .Help("Time from the last list that named a "
                                   "target as usable to the one that does not")
                             .Register(*registry)
                             .Add({}, WithdrawalBuckets())),
      configuration_lag_seconds(
          prometheus::BuildHistogram()
              .Name("sparbend_configuration_lag_seconds")
              .Help("Time for which peers were known to use the oldest of "
                    "the changes that this box then put in use")
              .Register(*registry)
              .Add({}, ConfigurationLagBuckets())),
      backoff_last_refusal_seconds(
          prometheus::BuildHistogram()
              .Name("sparbend_backoff_last_refusal_seconds")
              .Help("Time from a target's first refusal with Retry-After to "
                    "its last within the time that it asked for")
              .Register(*registry)
              .Add({}, BackoffBuckets())),
      registry_(registry),
      answers_(prometheus::BuildCounter()
                   .Name("sparbend_answers_total")
                   .Help("Answers to callers by status and verdict")
                   .Register(*registry)),
      target_answers_(prometheus::BuildCounter()
                          .Name("sparbend_target_answers_total")
                          .Help("Answers of targets by framing, position in "
                                "their stream, and completeness")
                          .Register(*registry)),
      end_checks_(prometheus::BuildCounter()
                      .Name("sparbend_end_checks_total")
                      .Help("Checks whether a target still ran after the "
                            "connection of its answer had ended")
                      .Register(*registry)),
      continuations_(prometheus::BuildCounter()
                         .Name("sparbend_stream_continuations_total")
                         .Help("Streams resumed by clients, by whether they "
                               "may go on and where their origin was found")
                         .Register(*registry)),
      rejected_continuations_(
          prometheus::BuildCounter()
              .Name("sparbend_continuations_rejected_total")
              .Help("Answers of targets that do not continue their stream, by "
                    "the reason")
              .Register(*registry)) {
  auto& control_work =
      prometheus::BuildCounter()
          .Name("sparbend_control_work_cpu_us_total")
          .Help("Processor time of control work by kind, in microseconds")
          .Register(*registry);
  for (size_t work = 0; work < kControlWorkCount; ++work)
    control_work_[work] =
        &control_work.Add({{"kind", std::string(ToString(ControlWork(work)))}});
}

auto Metrics::Render() const -> std::string {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

void Metrics::CountAnswer(int status, std::string_view verdict) {
  answers_
      .Add({{"status", std::to_string(status)},
            {"verdict", std::string(verdict)}})
      .Increment();
}

void Metrics::CountTargetAnswer(std::string_view framing,
                                std::string_view position,
                                bool complete) {
  target_answers_
      .Add({{"framing", std::string(framing)},
            {"position", std::string(position)},
            {"complete", complete ? "true" : "false"}})
      .Increment();
}

void Metrics::CountEndCheck(std::string_view target) {
  end_checks_.Add({{"target", std::string(target)}}).Increment();
}

void Metrics::CountControlWork(ControlWork work, int64_t micros) {
  control_work_[static_cast<size_t>(work)]->Increment(
      static_cast<double>(micros));
}

auto Metrics::ControlWorkMicros(ControlWork work) const -> double {
  return control_work_[static_cast<size_t>(work)]->Value();
}

void Metrics::CountContinuation(std::string_view outcome,
                                std::string_view found) {
  continuations_
      .Add({{"outcome", std::string(outcome)}, {"found", std::string(found)}})
      .Increment();
}

void Metrics::CountRejectedContinuation(std::string_view reason) {
  rejected_continuations_.Add({{"reason", std::string(reason)}}).Increment();
}

}  // namespace sparbend
