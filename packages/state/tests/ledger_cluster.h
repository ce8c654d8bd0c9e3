#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::state {

//! Simulated region of three hosts that replicate a ledger, two of them with a
//! disk, and requesters on each host. Messages and batches stay pending until
//! the test delivers, drops or persists them.
class LedgerCluster {
 public:
  LedgerCluster();

  //! Sends a permit request from a host and returns the request's number.
  std::uint64_t Request(std::size_t host, const std::string& operation);
  //! Resends a request, as its requester does while it gets no reply.
  void Resend(std::uint64_t number);
  //! Reports the outcome of a granted operation to the coordinator.
  void End(std::uint64_t number, OperationState outcome);
  //! Delivers the pending message at `choice`, modulo their number. With `keep`
  //! the message stays pending and can be delivered again.
  void Deliver(std::size_t choice, bool keep);
  //! Drops the pending message at `choice`, modulo their number.
  void Drop(std::size_t choice);
  //! Writes the oldest pending batch of a host to its disk and acknowledges it.
  void Persist(std::size_t host);
  //! Advances the clock and runs Tick on every running host.
  void Advance(std::chrono::milliseconds step);
  //! Stops a host; everything that is not on its disk is lost.
  void Crash(std::size_t host);
  //! Starts a crashed host again, as a new incarnation.
  void Restart(std::size_t host);
  //! Agrees on a view of the running hosts, coordinated by one that holds the
  //! complete ledger. Returns false if no host does.
  bool ChangeView();
  //! Installs the agreed view on a host. Views reach hosts only by this call.
  void SendView(std::size_t host);
  //! Delivers and persists everything until nothing is pending.
  void RunUntilIdle();

  std::size_t Pending() const { return this->messages.size(); }
  //! Returns the verdict on a request; nullopt if no reply has arrived.
  std::optional<PermitVerdict> Verdict(std::uint64_t number) const;
  //! Returns how many grants of an operation were received and not released.
  int Grants(const std::string& operation) const;
  //! Returns true if the coordinator of the view is active.
  bool IsActive() const;
  bool IsUp(std::size_t host) const {
    return this->hosts[host].ledger != nullptr;
  }
  //! Fault injection: members acknowledge records before they are written.
  bool confirms_too_early = false;

 private:
  struct Host {
    std::unique_ptr<OperationLedger> ledger;
    RecoveredLedger disk;
    std::vector<LedgerBatch> pending;
    std::uint64_t incarnation = 1;
    bool has_disk = false;
  };
  struct Message {
    std::size_t from;
    LedgerSend send;
  };
  struct RequestState {
    std::size_t host;
    PermitRequest request;
    std::optional<PermitVerdict> verdict;
    bool ended = false;
  };

  static HostName NameOf(std::size_t host);
  static std::size_t IndexOf(const HostName& host);
  void Start(std::size_t host);
  void ApplyEffects(std::size_t host, LedgerEffects effects);
  void HandlePermitReply(const PermitReply& reply);
  static void Write(RecoveredLedger& disk, const LedgerBatch& batch);

  TimePoint now{std::chrono::hours(1)};
  std::vector<Host> hosts;
  std::vector<Message> messages;
  RegionView view;
  std::uint64_t next_number = 1;
  std::map<std::uint64_t, RequestState> requests;
  std::map<std::string, int> grants;
};

}  // namespace tamarackwing::state
