#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Assumptions about servers before anything has been measured; both rates are
//! positive.
struct OfferedWorkOptions {
  //! Prompt tokens that a server without other requests processes per second.
  double prefill_rate = 30'000;
  //! Output tokens per second of one request.
  double decode_rate = 50;
};

//! A call that a caller of this region brings.
struct OfferedCall {
  std::string route;
  //! Prompt tokens that no other call shares: those of the last block.
  TokenCount own_tokens = 0;
  //! Max output tokens.
  TokenCount output_tokens = 0;
  //! Whether the call may run in another region.
  bool is_movable = false;
};

//! A finished stream.
struct ServedCall {
  std::string route;
  TokenCount own_tokens = 0;
  //! Requests of this host at the server when this one was sent to it, without
  //! this one.
  std::uint32_t load = 0;
  //! Time from sending the request to its first output.
  Duration until_first{};
  //! Time from its first to its last output.
  Duration after_first{};
};

//! A target's work in thousandths of a server: 1000 is the work that keeps one
//! server busy.
struct WorkRate {
  std::uint32_t offered = 0;
  //! The part of it that may run in another region.
  std::uint32_t movable = 0;
};

//! Measures the work that callers offer, by target, as server time. It does not
//! depend on where or whether the calls are served, so moving them does not
//! change it, and plans made from it do not oscillate.
//!
//! The server time of a call is a constant part, the time of its own part's
//! prefill and its share of a server during its output: own tokens / prefill
//! rate + output time / slots of a server. The shared part of a prompt is
//! assumed to be cached. The constant part and the rates are learned from
//! finished streams. Not thread-safe.
class OfferedWork {
 public:
  explicit OfferedWork(OfferedWorkOptions options) : options(options) {}

  //! Sets the slots of one server of a target. While it is zero, which means
  //! unknown, the work of outputs is not counted.
  void SetSlots(const std::string& target, double slots);
  //! Adds a call to the work offered.
  void NoteOffered(const std::string& target,
                   const OfferedCall& call,
                   TimePoint now);
  //! Learns from a finished stream the route's output time and, if the prompt's
  //! own part is long and the server had few requests of this host, the
  //! target's prefill rate.
  void NoteServed(const std::string& target, const ServedCall& call);
  //! Returns the decayed rate of the work offered.
  WorkRate RateOf(const std::string& target, TimePoint now) const;
  //! Returns the prompt tokens per second that a server of the target
  //! processes.
  double PrefillRateOf(const std::string& target) const;
  //! Returns the prefill time that a new prompt finds ahead of it: the mean of
  //! the recent calls' prefill times, weighted by those times, since a long
  //! prefill is met more often than a short one. Zero if there were no calls.
  Duration TypicalPrefill(const std::string& target) const;

 private:
  struct Target {
    //! Decayed sums of seconds of server time, at `at`.
    double offered = 0;
    double movable = 0;
    TimePoint at;
    //! Moving averages of the prefill time and of its square, in seconds.
    double prefill = 0;
    double prefill_square = 0;
    //! Low quantile of the prefill seconds per token; zero until learned.
    double seconds_per_token = 0;
    //! Seconds that a server spends on each call, however short: the shortest
    //! time until a first output that no token explains, among the last
    //! kShortCalls short prompts.
    double call_seconds = 0;
    double shortest = kMaxCallSeconds;
    int short_calls = 0;
    double slots = 0;
    //! Moving average of the output time by route, in seconds.
    std::unordered_map<std::string, double> outputs;
  };

  //! Max constant part of a call's server time, in seconds; more would be a
  //! large part of any latency target.
  static constexpr double kMaxCallSeconds = 0.2;
  //! Short prompts from which the constant part is learned: a few of as many
  //! find an idle server.
  static constexpr int kShortCalls = 32;

  double SecondsPerToken(const Target& target) const;

  OfferedWorkOptions options;
  std::unordered_map<std::string, Target> targets;
};

}  // namespace tamarackwing::policy
