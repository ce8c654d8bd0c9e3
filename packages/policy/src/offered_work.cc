#include "tamarackwing/policy/offered_work.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace tamarackwing::policy {
namespace {

using Seconds = std::chrono::duration<double>;

//! Time constant of the work rates, in seconds: a peak lasts 12 s and should be
//! answered within two, while a host with few callers needs several calls for
//! an estimate.
constexpr double kDecay = 1.0;
constexpr double kPerMille = 1'000;
//! Min own tokens of a prompt from which the prefill rate is learned: its
//! prefill then takes longer than the few decode steps that come with it.
constexpr TokenCount kLongPrompt = 1'024;
//! Max requests of this host at the server for the same purpose; more would
//! queue behind each other.
constexpr std::uint32_t kFewRequests = 1;
//! The quantile of the prefill time per token that is tracked. Other hosts'
//! requests delay most samples, so only the fastest show the server's speed;
//! repeated prompts, whose own part is cached, are rarer than one in ten.
constexpr double kQuantile = 0.1;
//! Step of the quantile's estimate: a sample changes it by 4.5% at most, so
//! single wrong samples matter little.
constexpr double kQuantileStep = 0.05;
//! Weight of a new sample in the average of output times: those change with
//! the load of the servers.
constexpr double kOutputWeight = 1.0 / 16;
//! Weight of a new sample in the average of prefill times. They depend on the
//! prompts only, and a margin that varies would move prefixes back and forth.
constexpr double kPrefillWeight = 1.0 / 64;

void Average(double& known, double sample, double weight) {
  known = known == 0 ? sample : known + (sample - known) * weight;
}

//! Returns the factor by which a decayed sum shrinks; 1 if `to` is not later.
double DecayFactor(TimePoint from, TimePoint to) {
  return std::exp(-std::max(0.0, Seconds(to - from).count()) / kDecay);
}

std::uint32_t ToPerMille(double rate) {
  constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp(rate * kPerMille / kDecay, 0.0, kMax));
}

}  // namespace

void OfferedWork::SetSlots(const std::string& target, double slots) {
  this->targets[target].slots = slots;
}

double OfferedWork::SecondsPerToken(const Target& target) const {
  return target.seconds_per_token > 0 ? target.seconds_per_token
                                      : 1 / this->options.prefill_rate;
}

void OfferedWork::NoteOffered(const std::string& target,
                              const OfferedCall& call,
                              TimePoint now) {
  Target& load = this->targets[target];
  const double prefill =
      static_cast<double>(std::max<TokenCount>(0, call.own_tokens)) *
      this->SecondsPerToken(load);
  double output = 0;
  if (load.slots > 0) {
    const auto known = load.outputs.find(call.route);
    output =
        known != load.outputs.end()
            ? known->second
            : static_cast<double>(std::max<TokenCount>(0, call.output_tokens)) /
                  this->options.decode_rate;
    output /= load.slots;
  }
  const double factor = DecayFactor(load.at, now);
  const double work = load.call_seconds + prefill + output;
  load.offered = load.offered * factor + work;
  load.movable = load.movable * factor + (call.is_movable ? work : 0);
  load.at = std::max(load.at, now);
  Average(load.prefill, prefill, kPrefillWeight);
  Average(load.prefill_square, prefill * prefill, kPrefillWeight);
}

void OfferedWork::NoteServed(const std::string& target,
                             const ServedCall& call) {
  Target& load = this->targets[target];
  Average(load.outputs[call.route],
          std::max(0.0, Seconds(call.after_first).count()), kOutputWeight);
  const double until_first = Seconds(call.until_first).count();
  if (call.load <= kFewRequests && call.own_tokens < kLongPrompt) {
    const double rest = until_first - static_cast<double>(call.own_tokens) *
                                          this->SecondsPerToken(load);
    load.shortest = std::clamp(rest, 0.0, load.shortest);
    if (++load.short_calls % kShortCalls == 0) {
      load.call_seconds = std::exchange(load.shortest, kMaxCallSeconds);
    }
  }
  if (call.own_tokens < kLongPrompt || call.load > kFewRequests ||
      until_first <= 0) {
    return;
  }
  const double sample = until_first / static_cast<double>(call.own_tokens);
  const double known = this->SecondsPerToken(load);
  load.seconds_per_token = sample > known
                               ? known * (1 + kQuantileStep * kQuantile)
                               : known * (1 - kQuantileStep * (1 - kQuantile));
}

WorkRate OfferedWork::RateOf(const std::string& target, TimePoint now) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return {};
  }
  const Target& load = found->second;
  const double factor = DecayFactor(load.at, now);
  return {ToPerMille(load.offered * factor), ToPerMille(load.movable * factor)};
}

double OfferedWork::PrefillRateOf(const std::string& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end()
             ? this->options.prefill_rate
             : 1 / this->SecondsPerToken(found->second);
}

Duration OfferedWork::TypicalPrefill(const std::string& target) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end() || found->second.prefill <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
      Seconds(found->second.prefill_square / found->second.prefill));
}

}  // namespace tamarackwing::policy
