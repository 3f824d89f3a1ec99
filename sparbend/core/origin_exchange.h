// What the boxes know together of the origins of streams, so that a client may
// resume a stream at any box, also when the box that began it is gone.
//
// While a route has several possible origins, each stream that begins is
// reported at once to a few boxes, its keepers, which follow from its key, and
// is to be persisted (OnOwnPersistable). While it has one, a box collects the
// streams that begin and reports them to two boxes, which follow from its own
// id. A box at which a stream is resumed that it does not know asks the boxes
// that may be keepers, and if none of them knows it, all others.
//
//   exchange.OnStreamBegan(stream, entry, now);
//   const uint32_t question = exchange.Ask(stream, route, now);
//   Send(exchange.TakeOutgoing());
//   if (const auto answer = exchange.OnMessage(message, now)) Send(*answer);
//   exchange.Find(question) / exchange.Close(question)
//
// Does no I/O and reads no clock.
#ifndef SPARBEND_CORE_ORIGIN_EXCHANGE_H_
#define SPARBEND_CORE_ORIGIN_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/members.h"
#include "sparbend/core/origin_messages.h"
#include "sparbend/core/possible_origins.h"
#include "sparbend/core/stream_origin_table.h"

namespace sparbend {

class OriginExchange {
 public:
  struct Outgoing {
    BoxId to = 0;
    OriginMessage message;
  };
  // A question to other boxes.
  struct Question {
    StreamKey stream = 0;
    RouteId route = 0;
    std::set<BoxId> unanswered;  // boxes that were asked
    size_t answers = 0;
    std::optional<StreamOrigin> origin;
    StreamOrigins possible;  // as the boxes that answered know

    // Whether no answer can add anything.
    auto decided() const -> bool { return origin || unanswered.empty(); }
  };
  // Called when a question has been answered by a box.
  using OnAnswer = std::function<void(uint32_t question)>;
  // Called with streams that began at this box while several origins are
  // possible, or before that, when a second one appears.
  using OnOwnPersistable =
      std::function<void(const std::vector<StreamOriginTable::Row>&)>;

  // `members` must outlive this.
  OriginExchange(const Members* members, std::string hall);

  void SetOnAnswer(OnAnswer on_answer) { on_answer_ = std::move(on_answer); }
  void SetOnOwnPersistable(OnOwnPersistable on_own_persistable) {
    on_own_persistable_ = std::move(on_own_persistable);
  }
  // Replaces the origins that new streams of each route may have.
  void SetPossibleOrigins(const OriginsByRoute& present, Millis now);
  // Adds origins that boxes recorded before they ended.
  void AddPastOrigins(const RouteTable& routes,
                      const PastOrigins& past,
                      Millis now);
  // Whether all past origins that boxes recorded are added. Until then this box
  // answers only questions about streams that it knows.
  void SetPastKnown() { past_known_ = true; }
  auto past_known() const -> bool { return past_known_; }
  auto possible_origins() const -> const PossibleOrigins& { return possible_; }

  // The first event of a stream arrived at this box, or the first one since the
  // client resumed it here. `entry.persisted` is ignored.
  void OnStreamBegan(StreamKey stream,
                     const StreamOriginTable::Entry& entry,
                     Millis now);
  auto FindStream(StreamKey stream, Millis now) const
      -> const StreamOriginTable::Entry* {
    return table_.Find(stream, now);
  }
  // Adds streams that boxes persisted; those that this box knows stay as they
  // are.
  void AddPersisted(const std::vector<OriginRecord>& records, Millis now);

  // Asks other boxes for the origin of `stream`, and for the possible origins
  // of `route`; returns the number of the question, which stays open until
  // Close.
  auto Ask(StreamKey stream, RouteId route, Millis now) -> uint32_t;
  // Asks the live boxes, too, that may have been informed by the box that began
  // the stream while one origin was possible: all.
  void AskAll(uint32_t question, Millis now);
  // Asks those again that have not answered.
  void AskAgain(uint32_t question);
  // Null if the question is not open.
  auto Find(uint32_t question) const -> const Question*;
  void Close(uint32_t question) { questions_.erase(question); }

  // Reports the streams that were collected, if that is due.
  void SendCollected(Millis now);

  // Applies a message of another box, which need not be listed yet. Returns the
  // answer to a question, to be sent to where it came from.
  auto OnMessage(const OriginMessage& message, Millis now)
      -> std::optional<OriginMessage>;
  // The messages to send, in order.
  auto TakeOutgoing() -> std::vector<Outgoing>;
  // Streams whose origin this box knows.
  auto size() const -> size_t { return table_.size(); }

  // The boxes that a stream is reported to while several origins are possible.
  auto KeepersOf(StreamKey stream, Millis now) const -> std::vector<BoxId>;
  // The boxes that it is reported to while one origin is possible: those of the
  // streams that begin at this box.
  auto OwnKeepers(Millis now) const -> std::vector<BoxId>;
  // The boxes to ask for it: more than its keepers, since boxes may have been
  // listed or restarted after it began, and since it may have begun in another
  // hall.
  auto BoxesToAsk(StreamKey stream, Millis now) const -> std::vector<BoxId>;

 private:
  // The `count` boxes with the highest rank for `stream`: live ones, or if none
  // of `boxes` is known to be live, any.
  auto HighestRanked(StreamKey stream,
                     const std::vector<BoxId>& boxes,
                     size_t count,
                     Millis now) const -> std::vector<BoxId>;
  // The `count` boxes with the highest rank for `key`, `in_hall` of them of
  // this box's hall if there are as many.
  auto Keepers(uint64_t key, size_t in_hall, size_t count, Millis now) const
      -> std::vector<BoxId>;
  // Sends the origins of the streams to their keepers.
  void Report(const std::vector<StreamOriginTable::Row>& rows, Millis now);
  // Reports them and passes them to on_own_persistable_.
  void ReportAmongSeveral(const std::vector<StreamOriginTable::Row>& rows,
                          Millis now);
  void SendReports(BoxId keeper, const std::vector<OriginRecord>& records);
  auto AnswerTo(const OriginMessage& question, Millis now) const
      -> std::optional<OriginMessage>;
  void Keep(const OriginRecord& record, Millis now);
  void OnReport(const OriginMessage& report, Millis now);
  void OnAnswerMessage(const OriginMessage& answer, Millis now);
  void SendQuestion(uint32_t number, const Question& question, BoxId to);

  const Members* members_;
  std::string hall_;
  StreamOriginTable table_;
  PossibleOrigins possible_;
  bool past_known_ = false;
  std::map<uint32_t, Question> questions_;
  uint32_t last_question_ = 0;
  std::vector<Outgoing> outgoing_;
  // Streams that began while one origin was possible, since the first of them.
  std::vector<StreamOriginTable::Row> collected_;
  Millis collected_since_;
  OnAnswer on_answer_;
  OnOwnPersistable on_own_persistable_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ORIGIN_EXCHANGE_H_
