//! Asks twice for leave to run one operation; the second gets the answer.

#include <deque>
#include <iostream>

#include "tamarackwing/state.h"

namespace {

using namespace tamarackwing;

//! Carries out the effects of a ledger of one host, with a disk that is a list.
class OneHostLedger {
 public:
  OneHostLedger()
      : ledger(HostName("a"),
               1,
               true,
               {},
               {},
               [](const state::PermitRequestId&) { return true; }) {
    state::RegionView view;
    view.region = RegionName("muscat");
    view.epoch = 1;
    view.coordinator = HostName("a");
    view.members.push_back({HostName("a"), 1, true});
    this->Carry(this->ledger.SetView(view, this->clock.Now()));
  }

  void Send(const state::LedgerMessage& message) {
    this->Carry(
        this->ledger.Receive(HostName("a"), message, this->clock.Now()));
  }

  state::PermitVerdict last = state::PermitVerdict::kUnavailable;

 private:
  void Carry(state::LedgerEffects effects) {
    for (const state::LedgerBatch& batch : effects.batches) {
      this->journal.push_back(state::EncodeLedgerBatch(batch));
      this->Carry(this->ledger.Persisted(batch.ticket, this->clock.Now()));
    }
    for (const state::LedgerSend& send : effects.sends) {
      const auto* permit = std::get_if<state::PermitReply>(&send.message);
      if (permit != nullptr) {
        this->last = permit->verdict;
      }
    }
  }

  ManualClock clock;
  std::deque<std::string> journal;
  state::OperationLedger ledger;
};

}  // namespace

int main() {
  OneHostLedger host;
  const OperationId operation("two-domes");
  host.Send(state::PermitRequest{{HostName("a"), 1, 1}, operation});
  if (host.last != state::PermitVerdict::kGranted) {
    return 1;
  }
  host.Send(state::LedgerUpdate{{HostName("a"), 1, 1},
                                operation,
                                state::OperationState::kAnswered,
                                {200, "text/plain", "booked"}});
  host.Send(state::PermitRequest{{HostName("a"), 1, 2}, operation});
  const bool is_answered = host.last == state::PermitVerdict::kAnswered;
  std::cout << (is_answered ? "granted once, then answered\n" : "wrong\n");
  return is_answered ? 0 : 1;
}
