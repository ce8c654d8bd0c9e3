#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/state/agreed_log.h"

namespace tamarackwing::state {

//! Hosts of an agreed log with a disk that can fail and a net that can do
//! anything to a message. Every message and every batch stays pending until a
//! test says what becomes of it.
class LogCluster {
 public:
  explicit LogCluster(std::size_t voters, std::size_t spares = 0);

  //! Moves time and lets every live host tick.
  void Advance(std::chrono::milliseconds step);
  //! Delivers, drops or doubles the pending message at `choice`.
  void Deliver(std::size_t choice, bool keep);
  void Drop(std::size_t choice);
  //! Writes the oldest pending batch of a host and confirms it.
  void Persist(const HostName& host);
  //! Ends a host; batches that were not written are lost.
  void Crash(const HostName& host);
  void Restart(const HostName& host);
  //! Forgets a crashed host's disk.
  void LoseDisk(const HostName& host);
  //! No message passes between the two sets.
  void Cut(const std::set<HostName>& side);
  void Heal();
  //! Appends through whoever leads; false where nobody does.
  bool Propose(const std::string& payload);
  bool AddVoter(const HostName& host);
  bool RemoveVoter(const HostName& host);
  void Compact(const HostName& host);
  //! Delivers and persists everything for a time without faults.
  void Settle(std::chrono::milliseconds time);

  //! What went wrong with the agreement; empty where nothing did.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  //! The leader with a lease; empty where there is none.
  HostName Leader() const;
  //! Payloads that a host has applied.
  const std::vector<std::string>& Applied(const HostName& host) const {
    return this->hosts.at(host).applied;
  }
  std::size_t Pending() const { return this->messages.size(); }
  std::vector<HostName> Names() const;
  bool IsUp(const HostName& host) const {
    return this->hosts.at(host).log != nullptr;
  }
  const AgreedLog& Log(const HostName& host) const {
    return *this->hosts.at(host).log;
  }
  //! A deliberate fault: batches are confirmed before they are written.
  bool confirms_too_early = false;
  //! Time that the cluster has run.
  TimePoint Now() const { return this->now; }

 private:
  struct Host {
    std::unique_ptr<AgreedLog> log;
    RecoveredLog disk;
    std::deque<LogBatch> pending;
    std::vector<std::string> applied;
    //! The most that was ever applied here, until the disk is lost.
    std::size_t floor = 0;
    bool founded = true;
  };
  struct Message {
    HostName from;
    LogSend send;
  };

  void Take(const HostName& host, LogEffects effects);
  void Apply(const HostName& host, const LogEntry& entry);
  static void Write(RecoveredLog& disk, const LogBatch& batch);
  void CheckLeases();

  TimePoint now{std::chrono::hours(1)};
  SeededRandom random{7};
  std::set<HostName> initial_voters;
  std::map<HostName, Host> hosts;
  std::vector<Message> messages;
  std::set<HostName> cut;
  std::map<LogIndex, std::string> agreed;
  std::vector<std::string> violations;
};

}  // namespace tamarackwing::state
