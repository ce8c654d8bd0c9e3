#include "control_load.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "tamarackwing/base/event.h"

namespace tamarackwing::daemon {
namespace {

std::string MillisecondsText(Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

void ControlLoad::NoteTick(TimePoint now, std::optional<Duration> quorum_age) {
  const TimePoint previous = std::exchange(this->last_tick, now).value_or(now);
  this->longest.gap = std::max(this->longest.gap, now - previous);
  this->longest.quorum_age = std::max(this->longest.quorum_age, quorum_age);
}

void ControlLoad::NoteWrite(Duration took) {
  this->longest.write = std::max(this->longest.write, took);
}

void ControlLoad::NoteAppend(Duration took) {
  this->longest.append = std::max(this->longest.append, took);
}

void ControlLoad::NoteLogCall(Duration took) {
  this->longest.log_call = std::max(this->longest.log_call, took);
}

void ControlLoad::Log(const LoadReading& reading) {
  TurnCount all;
  TurnCount longest_kind;
  std::string_view most;
  TurnCount frequent_kind;
  std::string_view often;
  for (const auto& [kind, total] : reading.turns) {
    const TurnCount& before = this->last.turns[kind];
    const TurnCount count{total.turns - before.turns, total.time - before.time};
    all.turns += count.turns;
    all.time += count.time;
    if (count.time > longest_kind.time) {
      longest_kind = count;
      most = kind;
    }
    if (count.turns > frequent_kind.turns) {
      frequent_kind = count;
      often = kind;
    }
  }
  const auto& longest_age = this->longest.quorum_age;
  LogEvent(Event::kControlLoad, LogLevel::kInfo,
           {{"busy_ms", MillisecondsText(all.time)},
            {"turns", std::to_string(all.turns)},
            {"most", std::string(most)},
            {"most_ms", MillisecondsText(longest_kind.time)},
            {"often", std::string(often)},
            {"often_turns", std::to_string(frequent_kind.turns)},
            {"gap_ms", MillisecondsText(this->longest.gap)},
            {"log_call_ms", MillisecondsText(this->longest.log_call)},
            {"append_ms", MillisecondsText(this->longest.append)},
            {"disk_ms", MillisecondsText(this->longest.write)},
            {"quorum_ms", longest_age ? MillisecondsText(*longest_age) : ""},
            {"calls", std::to_string(reading.unanswered_calls)},
            {"bytes", std::to_string(reading.unanswered_bytes)},
            {"behind", std::to_string(reading.commit_behind)}});
  this->last = reading;
  this->longest = Longest();
}

}  // namespace tamarackwing::daemon
