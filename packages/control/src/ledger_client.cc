#include "tamarackwing/control/ledger_client.h"

#include <utility>

namespace tamarackwing::control {
namespace {

//! A permit request without a reply for this long is refused as unavailable.
constexpr std::chrono::seconds kRequestTimeout{10};
//! A timed-out request is remembered until this long after it was made. A grant
//! that arrives for it in this time is released.
constexpr std::chrono::minutes kLateGrantWindow{5};

void SendToCoordinator(const RegionName& region,
                       state::LedgerMessage message,
                       const state::ControlState& state,
                       std::vector<PeerSend>& sends) {
  const auto view = state.Views().find(region);
  if (view != state.Views().end()) {
    sends.push_back({view->second.coordinator, std::move(message)});
  }
}

}  // namespace

LedgerClient::LedgerClient(HostName self,
                           std::uint64_t incarnation,
                           std::chrono::milliseconds resend)
    : self(std::move(self)), incarnation(incarnation), resend(resend) {}

std::uint64_t LedgerClient::Request(const RegionName& region,
                                    const OperationId& operation,
                                    const state::ControlState& state,
                                    TimePoint now,
                                    std::vector<PeerSend>& sends) {
  const std::uint64_t number = this->next_number++;
  const state::PermitRequest request{{this->self, this->incarnation, number},
                                     operation};
  this->requests[number] = {region, request, now, now};
  SendToCoordinator(region, request, state, sends);
  return number;
}

void LedgerClient::Update(const RegionName& region,
                          const OperationId& operation,
                          state::OperationState outcome,
                          const state::StoredAnswer& answer,
                          const state::ControlState& state,
                          TimePoint now,
                          std::vector<PeerSend>& sends) {
  const auto grant = this->granted.find(operation);
  if (grant == this->granted.end()) {
    return;
  }
  const state::LedgerUpdate update{grant->second.id, operation, outcome,
                                   answer};
  this->granted.erase(grant);
  this->AddUpdate(region, update, now);
  SendToCoordinator(region, update, state, sends);
}

bool LedgerClient::HandlePermit(const state::PermitReply& permit,
                                TimePoint now) {
  const std::uint64_t number = permit.id.number;
  const bool is_granted = permit.verdict == state::PermitVerdict::kGranted;
  const bool is_own = permit.id.host == this->self &&
                      permit.id.incarnation == this->incarnation;
  if (!is_own) {
    // An earlier process of this host had asked.
    return false;
  }
  const auto pending = this->requests.find(number);
  if (pending != this->requests.end()) {
    const state::PermitRequest& request = pending->second.request;
    if (is_granted) {
      this->granted[request.operation] = {pending->second.region, request.id};
    }
    this->requests.erase(pending);
    return true;
  }
  const auto late = this->timed_out.find(number);
  if (is_granted && late != this->timed_out.end()) {
    const state::PermitRequest& request = late->second.request;
    this->AddUpdate(
        late->second.region,
        {request.id, request.operation, state::OperationState::kReleased, {}},
        now);
  }
  return false;
}

void LedgerClient::HandleUpdated(const state::LedgerUpdated& updated) {
  const auto update = this->updates.find(updated.id.number);
  if (update != this->updates.end() && update->second.update.id == updated.id) {
    this->updates.erase(update);
  }
}

std::vector<state::PermitReply> LedgerClient::Tick(
    const state::ControlState& state,
    TimePoint now,
    std::vector<PeerSend>& sends) {
  std::vector<state::PermitReply> refused;
  for (auto pending = this->requests.begin();
       pending != this->requests.end();) {
    PendingRequest& entry = pending->second;
    if (now - entry.since >= kRequestTimeout) {
      refused.push_back(
          {entry.request.id, state::PermitVerdict::kUnavailable, {}});
      // The ledger may have granted the request. The operation was not sent, so
      // release the grant; releasing it more than once is harmless.
      this->AddUpdate(entry.region,
                      {entry.request.id,
                       entry.request.operation,
                       state::OperationState::kReleased,
                       {}},
                      now);
      this->timed_out[pending->first] = entry;
      pending = this->requests.erase(pending);
      continue;
    }
    if (now - entry.sent >= this->resend) {
      entry.sent = now;
      SendToCoordinator(entry.region, entry.request, state, sends);
    }
    ++pending;
  }
  for (auto& [number, entry] : this->updates) {
    if (now - entry.sent >= this->resend) {
      entry.sent = now;
      SendToCoordinator(entry.region, entry.update, state, sends);
    }
  }
  std::erase_if(this->timed_out, [&](const auto& entry) {
    return now - entry.second.since > kLateGrantWindow;
  });
  return refused;
}

void LedgerClient::AddUpdate(const RegionName& region,
                             const state::LedgerUpdate& update,
                             TimePoint now) {
  this->updates[update.id.number] = {region, update, now};
}

}  // namespace tamarackwing::control
