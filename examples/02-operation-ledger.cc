//! Requests a permit for one operation twice. The first request is granted; the
//! second gets the recorded response instead of running the operation again.

#include <deque>
#include <iostream>

#include "tamarackwing/state.h"

namespace {

using namespace tamarackwing;

//! Runs the ledger of a single host and carries out its effects. The journal is
//! kept in memory, so every write is persisted at once.
class SingleHostLedger {
 public:
  SingleHostLedger()
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
    this->Execute(this->ledger.SetView(view, this->clock.Now()));
  }

  void Send(const state::LedgerMessage& message) {
    this->Execute(
        this->ledger.Receive(HostName("a"), message, this->clock.Now()));
  }

  state::PermitVerdict last_verdict = state::PermitVerdict::kUnavailable;

 private:
  void Execute(state::LedgerEffects effects) {
    for (const state::LedgerBatch& batch : effects.batches) {
      this->journal.push_back(state::EncodeLedgerBatch(batch));
      this->Execute(this->ledger.Persisted(batch.ticket, this->clock.Now()));
    }
    for (const state::LedgerSend& send : effects.sends) {
      const auto* reply = std::get_if<state::PermitReply>(&send.message);
      if (reply != nullptr) {
        this->last_verdict = reply->verdict;
      }
    }
  }

  ManualClock clock;
  std::deque<std::string> journal;
  state::OperationLedger ledger;
};

}  // namespace

int main() {
  SingleHostLedger host;
  const OperationId operation("two-domes");
  host.Send(state::PermitRequest{{HostName("a"), 1, 1}, operation});
  if (host.last_verdict != state::PermitVerdict::kGranted) {
    return 1;
  }
  host.Send(state::LedgerUpdate{{HostName("a"), 1, 1},
                                operation,
                                state::OperationState::kAnswered,
                                {200, "text/plain", "booked"}});
  host.Send(state::PermitRequest{{HostName("a"), 1, 2}, operation});
  const bool is_answered = host.last_verdict == state::PermitVerdict::kAnswered;
  std::cout << (is_answered ? "granted once, then answered\n"
                            : "unexpected verdict\n");
  return is_answered ? 0 : 1;
}
