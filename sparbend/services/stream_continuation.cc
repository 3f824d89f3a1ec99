#include "sparbend/services/stream_continuation.h"

#include <algorithm>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// Time for the answers of other boxes, after half of which they are asked
// again: many round trips between halls, and short beside the pause that the
// client's stream has had already. Where a single origin is possible, answers
// can hardly add anything.
constexpr Millis kAnswerTime = Millis(300);
constexpr Millis kOnlyOriginAnswerTime = Millis(60);
// A list of this age may lack versions by which other boxes have begun streams.
constexpr Millis kMaxListAge = Millis(5'000);
// For a read of the list: the least time between two reads of the store, and
// the call.
constexpr Millis kListWait = Millis(700);
// A store that no box has had an answer from for this long is unavailable: more
// than the time between two reads of an overloaded box.
constexpr Millis kStoreSilence = Millis(2'500);
// For a client whose stream may be known to a box that did not answer, or once
// this box has read the records of the others.
constexpr Millis kRetryAfterNoAnswer = Millis(500);
// After the time that the client said it would wait, for clocks and for bytes
// on the way.
constexpr Millis kReturnSlack = Millis(10'000);
constexpr Millis kDefaultClientTime = Millis(60'000);
constexpr int kUnavailable = 503;
// Those that began on new connections between two reads of the list.
constexpr size_t kMaxUnverified = 4'096;

auto KeyOf(const RequestContext& context, const std::string& attempt)
    -> StreamKey {
  return attempt.empty() ? StreamKey{0}
                         : StreamKeyOf(context.workspace->name, attempt);
}

// When the client can't come back any more for the rest of its stream.
auto LastReturn(const RequestContext& context) -> Millis {
  return context.received +
         context.work.client_remaining.value_or(kDefaultClientTime) +
         kReturnSlack;
}

}  // namespace

void StreamContinuation::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
  persisted_ = kernel_->Find<PersistedOrigins>("persisted-origins");
  directory_ = kernel_->Find<Directory>("directory");
  if (directory_)
    directory_->SetOnListRead([this] { RecordVerified(); });
  scheduler_->node()
      .origins(kernel_->Now())
      .SetOnAnswer([this](uint32_t question) {
        const auto wait = waits_.find(question);
        if (wait != waits_.end())
          wait->second->cancel();
      });
}

auto StreamContinuation::ToString(Source source) -> std::string_view {
  switch (source) {
    case Source::kOwn:
      return "own";
    case Source::kPeer:
      return "peer";
    case Source::kStore:
      return "store";
    case Source::kNone:
      return "none";
  }
  return "";
}

auto StreamContinuation::NameOf(const StreamOrigin& origin) const
    -> std::string {
  for (const TargetEntry& target :
       scheduler_->node().members().list().targets) {
    if (VersionIdOf(target.version) == origin.version)
      return target.version;
  }
  return "id " + ToHex(origin.version);
}

auto StreamContinuation::WaitForAnswers(uint32_t question, Millis span)
    -> asio::awaitable<void> {
  const auto timer = std::make_shared<asio::steady_timer>(kernel_->io());
  waits_[question] = timer;
  span = scheduler_->SendingWithin(span);
  timer->expires_after(std::chrono::milliseconds(span.count()));
  const OriginExchange& origins = scheduler_->node().origins(kernel_->Now());
  const Millis until = kernel_->Now() + span;
  while (!origins.Find(question)->decided() && kernel_->Now() < until)
    co_await timer->async_wait(kAwait);
  waits_.erase(question);
}

auto StreamContinuation::AskPeers(StreamKey stream,
                                  RouteId route,
                                  Finding* finding) -> asio::awaitable<void> {
  OriginExchange& origins = scheduler_->node().origins(kernel_->Now());
  const Millis span =
      finding->facts.possible.size() > 1 ? kAnswerTime : kOnlyOriginAnswerTime;
  const uint32_t number = origins.Ask(stream, route, kernel_->Now());
  finding->asked = origins.Find(number)->unanswered.size();
  scheduler_->SendOriginMessages();
  co_await WaitForAnswers(number, Millis(span.count() / 2));
  if (!origins.Find(number)->decided()) {
    origins.AskAgain(number);
    scheduler_->SendOriginMessages();
    co_await WaitForAnswers(number, Millis(span.count() / 2));
  }
  const auto is_ambiguous = [&] {
    const OriginExchange::Question& asked = *origins.Find(number);
    StreamOrigins possible = finding->facts.possible;
    possible.insert(asked.possible.begin(), asked.possible.end());
    return !asked.origin && possible.size() > 1;
  };
  // The box that began the stream may have ended before it knew of the second
  // origin.
  if (is_ambiguous()) {
    origins.AskAll(number, kernel_->Now());
    scheduler_->SendOriginMessages();
    co_await WaitForAnswers(number, Millis(kAnswerTime.count() / 2));
  }
  const OriginExchange::Question question = *origins.Find(number);
  origins.Close(number);
  finding->answered = question.answers;
  finding->facts.known = question.origin;
  if (question.origin)
    finding->source = Source::kPeer;
  finding->facts.possible.insert(question.possible.begin(),
                                 question.possible.end());
  const bool list_is_old =
      finding->asked > 0 &&
      scheduler_->node().IsListOlderThan(kMaxListAge, kernel_->Now());
  finding->facts.incomplete =
      finding->answered == 0 && (list_is_old || !origins.past_known());
}

auto StreamContinuation::FindPersisted(StreamKey stream, Finding* finding)
    -> asio::awaitable<void> {
  finding->unread = !co_await persisted_->Refresh();
  const Millis now = kernel_->Now();
  const auto* entry = scheduler_->node().origins(now).FindStream(stream, now);
  if (entry == nullptr)
    co_return;
  finding->facts.known = entry->origin;
  finding->source = Source::kStore;
}

// The stream may have begun at a version that joined after this box last read
// the list, for instance while it was suspended or cut off. A box that can't
// read it goes by the answers of others; without any it does not know. While
// the store is unavailable, the others' lists are as old.
auto StreamContinuation::RefreshPossible(const RequestContext& context,
                                         RouteId route,
                                         Finding* finding)
    -> asio::awaitable<void> {
  if (!directory_)
    co_return;
  if (IsStoreUnavailable()) {
    finding->facts.incomplete = true;
    co_return;
  }
  const bool is_read = co_await directory_->WaitForListSince(
      context.received, scheduler_->SendingWithin(kListWait));
  const Millis now = kernel_->Now();
  const StreamOrigins possible =
      scheduler_->node().origins(now).possible_origins().Of(route, now);
  finding->facts.possible.insert(possible.begin(), possible.end());
  if (!is_read && (finding->answered == 0 || IsStoreUnavailable()))
    finding->facts.incomplete = true;
}

auto StreamContinuation::Find(const RequestContext& context)
    -> asio::awaitable<Finding> {
  const StreamKey stream = KeyOf(context, context.resumes.attempt);
  const RouteId route = RouteIdOf(context.route->name);
  const OriginExchange& origins = scheduler_->node().origins(kernel_->Now());
  Finding finding;
  finding.facts.possible = origins.possible_origins().Of(route, kernel_->Now());
  if (const auto* entry = origins.FindStream(stream, kernel_->Now())) {
    finding.facts.known = entry->origin;
    finding.source = Source::kOwn;
    co_return finding;
  }
  co_await AskPeers(stream, route, &finding);
  if (!finding.facts.known && finding.facts.possible.size() <= 1)
    co_await RefreshPossible(context, route, &finding);
  if (!finding.facts.known && finding.facts.possible.size() > 1)
    co_await FindPersisted(stream, &finding);
  co_return finding;
}

void StreamContinuation::Record(const RequestContext& context,
                                const Finding& finding,
                                const Continuation& continuation) {
  metrics_->CountContinuation(sparbend::ToString(continuation.outcome),
                              ToString(finding.source));
  const auto& origin =
      continuation.origin ? continuation.origin : finding.facts.known;
  Log(continuation.origin ? LogLevel::kInfo : LogLevel::kWarning,
      "stream-resumed",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"route", context.route->name},
       {"resumes", context.resumes.attempt},
       {"after_event", context.resumes.last_event_id},
       {"outcome", sparbend::ToString(continuation.outcome)},
       {"found", ToString(finding.source)},
       {"version", origin ? NameOf(*origin) : ""},
       {"possible", finding.facts.possible.size()},
       {"asked", finding.asked},
       {"answered", finding.answered},
       {"took_ms", (kernel_->Now() - context.received).count()}});
}

auto StreamContinuation::Resolve(RequestContext* context)
    -> asio::awaitable<std::optional<Refusal>> {
  if (context->route == nullptr || !context->resumes.stated())
    co_return std::nullopt;
  Finding finding;
  if (context->ResumesStream())
    finding = co_await Find(*context);
  const Continuation continuation =
      DecideContinuation(finding.facts, *context->route);
  Record(*context, finding, continuation);
  // A target would continue the stream of another, or begin anew. The client
  // has the beginning of an answer that can't go on, so it is told no time.
  if (continuation.outcome == ContinuationOutcome::kNotResumable)
    co_return Refusal{kUnavailable, Verdict::kNotRun,
                      "the route does not allow its streams to be resumed",
                      Millis(0)};
  if (continuation.outcome == ContinuationOutcome::kMoved)
    co_return Refusal{kUnavailable, Verdict::kNotRun,
                      "the pool that began this stream serves the route no "
                      "longer",
                      Millis(0)};
  if (!continuation.origin)
    co_return Refusal{kUnavailable, Verdict::kNotRun,
                      "it is not known which of several software versions "
                      "began this stream",
                      finding.answered < finding.asked ||
                              finding.facts.incomplete || finding.unread
                          ? kRetryAfterNoAnswer
                          : Millis(0)};
  context->progress.origin = continuation.origin;
  for (const PoolWeight& part : context->route->pools) {
    if (PoolIdOf(part.pool) == continuation.origin->pool)
      context->pool = context->catalog->FindPool(part.pool);
  }
  if (context->pool == nullptr)
    co_return Refusal{kUnavailable, Verdict::kNotRun,
                      "the route's pool is not declared", Millis(0)};
  co_return std::nullopt;
}

// A box that lives alone among several can't distinguish an outage of the store
// from being cut off itself.
auto StreamContinuation::IsStoreUnavailable() const -> bool {
  const Millis now = kernel_->Now();
  const Node& node = scheduler_->node();
  const auto& span = node.store_availability().span();
  if (span && now - span->until <= kStoreSilence)
    return false;
  const std::vector<BoxEntry>& boxes = node.members().list().boxes;
  return boxes.size() <= 1 || std::ranges::any_of(boxes, [&](const auto& box) {
           const BoxId id = BoxIdOf(box.name);
           return id != node.members().self() && node.members().IsLive(id, now);
         });
}

auto StreamContinuation::VersionBehind(const StreamBeginning& connection) const
    -> std::optional<VersionId> {
  TargetVersionFacts facts;
  if (const TargetEntry* entry =
          scheduler_->node().FindTarget(connection.target))
    facts.listed = VersionIdOf(entry->version);
  // Without a directory answers state the version (Forward::ReadAnswer).
  facts.read_since_connected =
      !directory_ || connection.connected_at <= directory_->list_reflects();
  facts.connected_before =
      !facts.read_since_connected && has_open_since_ &&
      has_open_since_(connection.target, directory_->list_reflects());
  return VersionOf(facts);
}

auto StreamContinuation::FindVersionBehind(StreamBeginning connection)
    -> asio::awaitable<std::optional<VersionId>> {
  const std::optional<VersionId> version = VersionBehind(connection);
  const bool read_since =
      !directory_ || connection.connected_at <= directory_->list_reflects();
  if (version || read_since || IsStoreUnavailable())
    co_return version;
  co_await directory_->WaitForListSince(connection.connected_at,
                                        scheduler_->SendingWithin(kListWait));
  co_return VersionBehind(connection);
}

auto StreamContinuation::MayContinueAt(const RequestContext& context,
                                       const Slot& slot)
    -> asio::awaitable<bool> {
  const std::optional<StreamOrigin>& origin = context.progress.origin;
  if (!origin)
    co_return true;
  if (VersionIdOf(slot.version) != origin->version)
    co_return false;
  const std::optional<VersionId> version =
      co_await FindVersionBehind({slot.id, context.connected_at});
  co_return version == origin->version;
}

auto StreamContinuation::FindOrigin(RequestContext* context)
    -> asio::awaitable<void> {
  AnswerProgress& progress = context->progress;
  if (progress.origin || !progress.beginning || !context->resumable)
    co_return;
  const StreamKey stream = KeyOf(*context, context->caller_id);
  const Millis now = kernel_->Now();
  if (const auto* entry =
          scheduler_->node().origins(now).FindStream(stream, now)) {
    progress.origin = entry->origin;  // the list was read meanwhile
    co_return;
  }
  const std::optional<VersionId> version =
      co_await FindVersionBehind(*progress.beginning);
  if (version)
    progress.origin = {PoolIdOf(context->pool->name), *version};
  else
    Log(LogLevel::kWarning, "stream-origin-unknown",
        {{"request", context->request_id}, {"caller_id", context->caller_id}});
}

void StreamContinuation::RecordOrigin(StreamKey stream,
                                      const StreamOrigin& origin,
                                      RouteId route,
                                      Millis expires) {
  const Millis now = kernel_->Now();
  scheduler_->node().origins(now).OnStreamBegan(stream,
                                                {origin, route, expires}, now);
}

void StreamContinuation::RecordVerified() {
  const Millis reflects = directory_->list_reflects();
  std::erase_if(unverified_, [&](const Unverified& stream) {
    if (stream.beginning.connected_at > reflects)
      return false;
    if (const auto version = VersionBehind(stream.beginning))
      RecordOrigin(stream.stream, {stream.pool, *version}, stream.route,
                   stream.expires);
    return true;
  });
  scheduler_->SendOriginMessages();
}

// The stream is reported before the client has its first event: if the box is
// killed after that, its client comes back elsewhere. The process that begins
// it may have started after the list was read, with other software. If that is
// not excluded, the stream is recorded once the list was read again.
void StreamContinuation::OnEvent(RequestContext* context, const Slot& slot) {
  AnswerProgress& progress = context->progress;
  if (progress.origin_recorded)
    return;
  progress.origin_recorded = true;
  const PoolId pool = PoolIdOf(context->pool->name);
  if (!progress.origin) {
    progress.beginning = {slot.id, context->connected_at};
    if (const auto version = VersionBehind(*progress.beginning))
      progress.origin = {pool, *version};
  }
  const StreamKey stream =
      KeyOf(*context, context->resumes.stated() ? context->resumes.attempt
                                                : context->caller_id);
  if (context->route == nullptr || !context->resumable || stream == 0)
    return;
  const RouteId route = RouteIdOf(context->route->name);
  if (progress.origin) {
    RecordOrigin(stream, *progress.origin, route, LastReturn(*context));
    scheduler_->SendOriginMessages();
    return;
  }
  unverified_.push_back(
      {stream, route, pool, LastReturn(*context), *progress.beginning});
  if (unverified_.size() > kMaxUnverified)
    unverified_.pop_front();
}

}  // namespace sparbend
