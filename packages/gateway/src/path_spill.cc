//! Implements how PathRequest measures the work that its call offers, and how
//! it follows the plan that moves calls to other regions.

#include <algorithm>
#include <chrono>

#include "path_request.h"
#include "spill_choice.h"
#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::gateway {
namespace {

//! A call moves only if the round trip is at most this part of its latency
//! target: the rest remains for the other region's wait and prefill.
constexpr int kTargetPerRoundTrip = 4;

}  // namespace

bool PathRequest::IsPlanned() const {
  return this->gateway.Settings().scheduling.spill_ahead &&
         this->route->kind == state::PathKind::kStream &&
         this->call.prompt.has_value();
}

bool PathRequest::MayMoveTo(const PlannedRegion& region) const {
  const std::chrono::milliseconds target = this->route->target_latency;
  return target.count() > 0 &&
         kTargetPerRoundTrip * region.round_trip <= target &&
         this->MayRunIn(region.host.region);
}

TokenCount PathRequest::OwnTokens() const {
  const std::vector<policy::PrefixBlock>& blocks =
      this->call.prompt->prefix_blocks;
  return blocks.empty() ? this->call.prompt->prompt_tokens
                        : blocks.back().tokens;
}

bool PathRequest::IsOfferedHere() const {
  const RegionName& own = this->gateway.Settings().region;
  if (!this->MayRunIn(own)) {
    return false;
  }
  if (!this->forwarded) {
    return true;
  }
  // A call that could have run in the forwarding host's region counts there.
  const auto origin = this->snapshot->hosts->find(this->forwarded->origin);
  return origin != this->snapshot->hosts->end() &&
         !this->MayRunIn(origin->second.region);
}

void PathRequest::NoteOffered() {
  if (!this->IsPlanned() || !this->IsOfferedHere()) {
    return;
  }
  RegionHosts& regions = this->gateway.Dependencies().regions;
  policy::OfferedCall offered;
  offered.route = this->route->name.Text();
  offered.own_tokens = this->OwnTokens();
  offered.output_tokens = this->call.prompt->output_tokens;
  if (!this->forwarded && !this->has_begun) {
    const auto plan = regions.PlanFor(this->service);
    offered.is_movable =
        plan && std::any_of(plan->regions.begin(), plan->regions.end(),
                            [this](const PlannedRegion& region) {
                              return this->MayMoveTo(region);
                            });
  }
  regions.NoteOffered(this->service, offered);
}

void PathRequest::NoteServed(const Target& target, TimePoint first_output) {
  // A stream that goes on with another one, or with that of an earlier try, has
  // only a part of its output.
  const bool is_whole = !this->call.last_event && this->plan->Sends() == 0;
  if (!target.server || !this->IsPlanned() || !is_whole) {
    return;
  }
  policy::ServedCall served;
  served.route = this->route->name.Text();
  served.own_tokens = this->OwnTokens();
  served.load = this->server_load;
  served.until_first = first_output - this->try_started;
  served.after_first = this->last_byte_at - first_output;
  this->gateway.Dependencies().regions.NoteServed(this->service, served);
}

std::optional<ForwardTarget> PathRequest::PickPlanned() {
  if (!this->IsPlanned()) {
    return std::nullopt;
  }
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  const auto plan = dependencies.regions.PlanFor(this->service);
  if (!plan || plan->per_mille == 0) {
    return std::nullopt;
  }
  const std::uint64_t prefix = this->Query().affinity;
  const std::uint64_t key =
      prefix != 0 ? prefix : policy::RendezvousKey(this->call.id);
  const PlannedRegion* const region =
      ChooseRegion(*plan, key, [this](const PlannedRegion& candidate) {
        return this->MayMoveTo(candidate) &&
               this->MayForwardTo(candidate.host.host);
      });
  if (region == nullptr) {
    return std::nullopt;
  }
  dependencies.metrics.Count("tamarackwing_moved_calls_total{region=\"" +
                             region->host.region.Text() + "\"}");
  return region->host;
}

}  // namespace tamarackwing::gateway
