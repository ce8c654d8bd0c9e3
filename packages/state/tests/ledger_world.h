#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/state/operation_ledger.h"

namespace tamarackwing::state {

//! Three hosts of one region that keep a ledger, and askers on each. Messages
//! and batches stay pending until a test says what becomes of them.
class LedgerWorld {
 public:
  LedgerWorld();

  //! Starts an ask of a host; the number names it.
  std::uint64_t Ask(std::size_t host, const std::string& operation);
  //! Sends an ask again, as the asker does when no answer comes.
  void AskAgain(std::uint64_t number);
  //! Ends a granted operation.
  void End(std::uint64_t number, OperationState outcome);
  void Deliver(std::size_t choice, bool keep);
  void Drop(std::size_t choice);
  void Persist(std::size_t host);
  void Advance(std::chrono::milliseconds step);
  //! Kills a host; what was not on its disk is lost.
  void Crash(std::size_t host);
  //! Starts it again as a new incarnation.
  void Restart(std::size_t host);
  //! Agrees on a view of the live hosts, led by a holder of the whole ledger.
  bool ChangeView();
  //! Tells a host the agreed view; a late one hears of it late.
  void TellView(std::size_t host);
  //! Delivers and writes everything.
  void Settle();

  std::size_t Pending() const { return this->messages.size(); }
  //! The verdict of an ask; nothing where none came.
  std::optional<PermitVerdict> Verdict(std::uint64_t number) const;
  //! How many grants of an operation were ever handed out and not given back.
  int Sends(const std::string& operation) const;
  bool IsActive() const;
  bool IsUp(std::size_t host) const {
    return this->hosts[host].ledger != nullptr;
  }
  //! A deliberate fault: a member confirms what it has not written.
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
  struct Asked {
    std::size_t host;
    PermitRequest ask;
    std::optional<PermitVerdict> verdict;
    bool ended = false;
  };

  static HostName NameOf(std::size_t host);
  static std::size_t IndexOf(const HostName& host);
  void Start(std::size_t host);
  void Take(std::size_t host, LedgerEffects effects);
  void TakePermit(const PermitReply& permit);
  static void Write(RecoveredLedger& disk, const LedgerBatch& batch);

  TimePoint now{std::chrono::hours(1)};
  std::vector<Host> hosts;
  std::vector<Message> messages;
  RegionView view;
  std::uint64_t next_number = 1;
  std::map<std::uint64_t, Asked> asks;
  std::map<std::string, int> sends;
};

}  // namespace tamarackwing::state
