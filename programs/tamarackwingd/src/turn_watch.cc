#include "turn_watch.h"

#include <array>
#include <utility>
#include <variant>

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

//! A gap between two ticks from which on a leader's heartbeats are late.
constexpr milliseconds kLateGap{300};

constexpr std::array<std::string_view,
                     std::variant_size_v<control::PeerMessage>>
    kMessageKinds{
        "log",           "ledger",         "feed_request",  "feed_reply",
        "propose",       "propose_reply",  "withdrawal",    "region_status",
        "probe",         "probe_reply",    "chunk_request", "chunk_grant",
        "chunk_settled", "status_request", "status_reply",  "servers",
        "rate_report",   "rate_grant",     "crash_report",  "quarantine",
        "stream_begun",  "stream_query",   "stream_answer"};

milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

std::string_view MessageKind(const control::PeerMessage& message) {
  return kMessageKinds.at(message.index());
}

TurnWatch::Turn::Turn(TurnWatch& watch,
                      const Clock& clock,
                      std::string_view kind)
    : watch(watch), clock(clock), kind(kind), start(clock.Now()) {}

TurnWatch::Turn::~Turn() {
  this->watch.NoteTurn(this->kind, this->clock.Now() - this->start);
}

std::optional<LateTick> TurnWatch::NoteTick(TimePoint now) {
  std::optional<LateTick> late;
  const auto previous = std::exchange(this->last_tick, now);
  if (previous && now - *previous >= kLateGap) {
    late = LateTick{ToMilliseconds(now - *previous), this->turns,
                    ToMilliseconds(this->busy), ToMilliseconds(this->longest),
                    this->longest_kind};
  }
  this->turns = 0;
  this->busy = Duration::zero();
  this->longest = Duration::zero();
  this->longest_kind = {};
  return late;
}

void TurnWatch::NoteTurn(std::string_view kind, Duration took) {
  this->turns += 1;
  this->busy += took;
  if (took >= this->longest) {
    this->longest = took;
    this->longest_kind = kind;
  }
}

}  // namespace tamarackwing::daemon
