#include "tamarackwing/control/ledger_client.h"

#include <utility>

namespace tamarackwing::control {
namespace {

//! An ask without an answer for so long is given up.
constexpr std::chrono::seconds kAskPatience{10};
//! A permit may still come for an ask that was given up so long ago.
constexpr std::chrono::minutes kLateness{5};

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
  const state::PermitRequest ask{{this->self, this->incarnation, number},
                                 operation};
  this->asks[number] = {region, ask, now, now};
  SendToCoordinator(region, ask, state, sends);
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
  const auto asking = this->asks.find(number);
  if (asking != this->asks.end()) {
    const state::PermitRequest& ask = asking->second.ask;
    if (is_granted) {
      this->granted[ask.operation] = {asking->second.region, ask.id};
    }
    this->asks.erase(asking);
    return true;
  }
  const auto late = this->given_up.find(number);
  if (is_granted && late != this->given_up.end()) {
    const state::PermitRequest& ask = late->second.ask;
    this->AddUpdate(
        late->second.region,
        {ask.id, ask.operation, state::OperationState::kReleased, {}}, now);
  }
  return false;
}

void LedgerClient::HandleUpdated(const state::LedgerUpdated& updated) {
  this->updates.erase(updated.id.number);
}

std::vector<state::PermitReply> LedgerClient::Tick(
    const state::ControlState& state,
    TimePoint now,
    std::vector<PeerSend>& sends) {
  std::vector<state::PermitReply> refused;
  for (auto asking = this->asks.begin(); asking != this->asks.end();) {
    Asking& entry = asking->second;
    if (now - entry.since >= kAskPatience) {
      refused.push_back({entry.ask.id, state::PermitVerdict::kUnavailable, {}});
      // It may have been granted on its way: nothing was sent, so it is given
      // back, once or more often.
      this->AddUpdate(entry.region,
                      {entry.ask.id,
                       entry.ask.operation,
                       state::OperationState::kReleased,
                       {}},
                      now);
      this->given_up[asking->first] = entry;
      asking = this->asks.erase(asking);
      continue;
    }
    if (now - entry.sent >= this->resend) {
      entry.sent = now;
      SendToCoordinator(entry.region, entry.ask, state, sends);
    }
    ++asking;
  }
  for (auto& [number, entry] : this->updates) {
    if (now - entry.sent >= this->resend) {
      entry.sent = now;
      SendToCoordinator(entry.region, entry.update, state, sends);
    }
  }
  std::erase_if(this->given_up, [&](const auto& entry) {
    return now - entry.second.since > kLateness;
  });
  return refused;
}

void LedgerClient::AddUpdate(const RegionName& region,
                             const state::LedgerUpdate& update,
                             TimePoint now) {
  this->updates[update.id.number] = {region, update, now};
}

}  // namespace tamarackwing::control
