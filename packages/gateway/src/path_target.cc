//! Implements how PathRequest chooses the destination of its next try.

#include <algorithm>
#include <utility>

#include "backend_exchange.h"
#include "cold_allowance.h"
#include "path_request.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/policy/admission.h"
#include "tamarackwing/policy/rendezvous.h"
#include "tamarackwing/policy/spill.h"

namespace tamarackwing::gateway {
namespace {

using std::chrono::milliseconds;

//! Minimum length of a shared prompt prefix for co-locating requests for
//! prefix-cache affinity: repeating the prefill of a prefix this long costs
//! more than one step of a full engine.
constexpr TokenCount kMinAffinityTokens = 1'024;
//! A prompt is long if its prefill takes this part of the pause that callers
//! allow: a few of them in a row use it up.
constexpr int kPausesPerPrefill = 4;

}  // namespace

std::optional<PathRequest::Target> PathRequest::PickTarget() {
  if (this->has_begun && !this->origin) {
    return std::nullopt;
  }
  const bool may_run_here = this->MayRunIn(this->gateway.Settings().region);
  // Other regions may not have the version that began a stream.
  const bool may_spill =
      !this->forwarded && !this->is_trial && !this->has_begun;
  std::optional<ForwardTarget> host;
  if (may_run_here && may_spill) {
    host = this->PickSpill();
  }
  if (!host && this->gateway.Dependencies().servers.LinksAreDown()) {
    return this->PickDetour(may_run_here);
  }
  if (may_run_here && !host) {
    auto target = this->PickServer();
    if (target) {
      return target;
    }
  }
  if (!this->forwarded && !host && !this->is_trial) {
    host = this->PickHost();
  }
  return host ? std::optional(this->ForwardTo(std::move(*host))) : std::nullopt;
}

std::optional<PathRequest::Target> PathRequest::PickDetour(bool may_run_here) {
  if (!this->forwarded && !this->is_trial) {
    std::optional<ForwardTarget> host;
    if (may_run_here) {
      host = this->PickNeighbour();
    }
    if (!host) {
      host = this->PickHost();
    }
    if (host) {
      return this->ForwardTo(std::move(*host));
    }
  }
  const bool may_reach_server =
      may_run_here && this->gateway.Dependencies().servers.KeepsConnections();
  return may_reach_server ? this->PickServer() : std::nullopt;
}

std::optional<PathRequest::Target> PathRequest::PickServer() {
  ServerDirectory& servers = this->gateway.Dependencies().servers;
  Target target;
  target.server = servers.Choose(this->Query());
  if (!target.server) {
    return std::nullopt;
  }
  if (!this->TryAdmit(*target.server)) {
    servers.Release(target.server->name, target.server->prefill_tokens);
    return std::nullopt;
  }
  target.endpoint = EndpointOf(*target.server);
  this->tried.insert(target.server->name);
  this->server_load = target.server->load;
  this->slot_wait = target.server->slot_wait;
  this->expected_first_byte = target.server->wait + target.server->prefill;
  this->sent_at = servers.Now();
  this->pending_prefill = target.server->prefill_tokens;
  return target;
}

PathRequest::Target PathRequest::ForwardTo(ForwardTarget host) {
  Target target;
  target.endpoint = host.endpoint;
  this->tried_hosts.insert(host.host);
  this->expected_first_byte = host.expected;
  target.host = std::move(host);
  return target;
}

std::optional<ForwardTarget> PathRequest::PickNeighbour() {
  std::vector<ForwardTarget> neighbours =
      this->gateway.Dependencies().regions.Neighbours();
  std::erase_if(neighbours, [this](const ForwardTarget& neighbour) {
    return !this->MayForwardTo(neighbour.host);
  });
  if (neighbours.empty()) {
    return std::nullopt;
  }
  return neighbours[this->gateway.NextNumber() % neighbours.size()];
}

std::optional<ForwardTarget> PathRequest::BestCandidate() {
  std::vector<ForwardTarget> candidates =
      this->gateway.Dependencies().regions.Candidates(this->service);
  this->PreferOrigin(candidates);
  for (ForwardTarget& candidate : candidates) {
    if (this->MayRunIn(candidate.region) &&
        this->MayForwardTo(candidate.host)) {
      return std::move(candidate);
    }
  }
  return std::nullopt;
}

std::optional<ForwardTarget> PathRequest::PickSpill() {
  const PathGatewayDependencies& dependencies = this->gateway.Dependencies();
  if (this->gateway.Settings().scheduling.spill_ahead) {
    return this->PickPlanned();
  }
  std::optional<ForwardTarget> remote = this->BestCandidate();
  const bool spills =
      remote && policy::ShouldSpill(dependencies.regions.OwnWait(this->service),
                                    remote->expected,
                                    policy::RendezvousKey(this->call.id));
  return spills ? remote : std::nullopt;
}

std::optional<ForwardTarget> PathRequest::PickHost() {
  std::optional<ForwardTarget> best = this->BestCandidate();
  if (best && this->shed && !this->TryAdmit(best->expected)) {
    return std::nullopt;
  }
  if (best || this->shed) {
    return best;
  }
  // No suitable host is known to have slots, possibly because the load of other
  // regions is not known yet: choose any live entry host that may run the call.
  std::vector<ForwardTarget> others;
  for (const auto& [name, host] : *this->snapshot->hosts) {
    const bool is_eligible = host.region != this->gateway.Settings().region &&
                             this->MayForwardTo(name) &&
                             this->MayRunIn(host.region);
    if (is_eligible) {
      others.push_back({name,
                        host.region,
                        {host.peer_address, host.forward_port},
                        Duration::zero()});
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  const ForwardTarget any = others[this->gateway.NextNumber() % others.size()];
  this->PreferOrigin(others);
  const bool is_preferred =
      this->origin && others.front().region == this->origin->region;
  return is_preferred ? others.front() : any;
}

void PathRequest::PreferOrigin(std::vector<ForwardTarget>& targets) const {
  if (this->origin) {
    std::stable_partition(targets.begin(), targets.end(),
                          [&](const ForwardTarget& target) {
                            return target.region == this->origin->region;
                          });
  }
}

bool PathRequest::TryAdmit(const policy::ServerChoice& server) {
  if (!this->gateway.Settings().scheduling.fit_deadlines) {
    return this->TryAdmit(server.slot_wait);
  }
  const policy::ExpectedTimes expected{server.wait, server.prefill, server.run};
  const bool may_shed = this->MayShed();
  if (may_shed && !policy::FitsDeadline(expected, this->TimeLeft())) {
    this->Shed(server.wait);
    return false;
  }
  return this->TryAdmit(server.wait);
}

bool PathRequest::MayShed() const {
  // Only streams are shed. A call that may already have run, or whose caller
  // has got the beginning of its stream, is completed wherever possible.
  return this->route->kind == state::PathKind::kStream &&
         !this->plan->MayHaveRun() && !this->has_begun;
}

bool PathRequest::TryAdmit(Duration wait) {
  const bool is_admitted =
      !this->MayShed() ||
      policy::ShouldAdmit(wait, this->LatencyTarget(),
                          policy::RendezvousKey(this->call.id));
  if (!is_admitted) {
    this->Shed(wait);
  }
  return is_admitted;
}

milliseconds PathRequest::LatencyTarget() const {
  return this->snapshot->paths->StreamTarget(state::ServiceName(this->service));
}

void PathRequest::Shed(Duration wait) {
  const milliseconds latency_target = this->LatencyTarget();
  this->shed = true;
  this->retry_after = CeilMs(policy::ShedRetryDelay(
      wait, latency_target, policy::RendezvousKey(this->call.id)));
  LogEvent(Event::kTurnedAway, LogLevel::kInfo,
           {{"request", this->call.id},
            {"service", this->service},
            {"wait_ms", std::to_string(CeilMs(wait).count())},
            {"target_ms", std::to_string(latency_target.count())},
            {"left_ms", std::to_string(this->TimeLeft().count())},
            {"retry_ms", std::to_string(this->retry_after.count())}});
}

bool PathRequest::IsLongPrompt() const {
  const double seconds =
      static_cast<double>(this->call.prompt->prompt_tokens) /
      this->gateway.Settings().scheduling.prefill_tokens_per_s;
  return kPausesPerPrefill * std::chrono::duration<double>(seconds) >=
         this->route->target_gap;
}

bool PathRequest::MayForwardTo(const HostName& name) const {
  const auto host = this->snapshot->hosts->find(name);
  return host != this->snapshot->hosts->end() && host->second.IsEntryHost() &&
         !host->second.draining && this->snapshot->live.contains(name) &&
         !this->tried_hosts.contains(name);
}

policy::ServerQuery PathRequest::Query() const {
  policy::ServerQuery query;
  query.target = this->service;
  query.data_centre = this->gateway.Settings().data_centre;
  query.tried = this->tried;
  query.closed = &this->snapshot->closed_data_centres;
  if (this->has_begun && this->origin) {
    query.software = this->origin->software;
  }
  if (this->call.prompt) {
    const PromptShape& prompt = *this->call.prompt;
    query.prompt_tokens = prompt.prompt_tokens;
    query.output_tokens = prompt.output_tokens;
    query.prefix_blocks = prompt.prefix_blocks;
    if (this->gateway.Settings().scheduling.share_loads) {
      query.pause_allowance = this->route->target_gap;
      query.is_long_prompt = this->IsLongPrompt();
    }
    TokenCount shared_tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.prefix_blocks.size(); ++i) {
      shared_tokens += prompt.prefix_blocks[i].tokens;
    }
    if (shared_tokens >= kMinAffinityTokens) {
      query.affinity =
          prompt.prefix_blocks[prompt.prefix_blocks.size() - 2].digest;
      query.affinity_tokens = shared_tokens;
    }
  }
  query.cold_allowance = MakeColdAllowance(
      this->snapshot, this->gateway.Settings(), this->service);
  return query;
}

}  // namespace tamarackwing::gateway
