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

//! Simulated cluster of agreed-log hosts, each with a disk, and the network
//! between them. Every message and every batch stays pending until the test
//! delivers, drops or persists it.
class LogCluster {
 public:
  //! Starts `voters` initial voters and `spares` hosts that are not voters yet.
  explicit LogCluster(std::size_t voters, std::size_t spares = 0);

  //! Advances the clock and runs Tick on every running host.
  void Advance(std::chrono::milliseconds step);
  //! Delivers the pending message at `choice`, modulo their number. With `keep`
  //! the message stays pending and can be delivered again.
  void Deliver(std::size_t choice, bool keep);
  //! Drops the pending message at `choice`, modulo their number.
  void Drop(std::size_t choice);
  //! Writes the oldest pending batch of a host to its disk and acknowledges it.
  void Persist(const HostName& host);
  //! Makes RunFor write none of a host's batches until ResumeDisk.
  void StallDisk(const HostName& host) { this->stalled.insert(host); }
  void ResumeDisk(const HostName& host) { this->stalled.erase(host); }
  //! Stops a host; its pending batches are lost.
  void Crash(const HostName& host);
  void Restart(const HostName& host);
  //! Erases the disk of a crashed host.
  void LoseDisk(const HostName& host);
  //! Partitions the network: drops messages between `side` and all other hosts.
  void Partition(const std::set<HostName>& side);
  void Heal();
  //! Proposes a change to the first host that acts as leader. Returns false if
  //! there is none or it does not accept the change.
  bool Propose(const std::string& payload);
  bool AddVoter(const HostName& host);
  bool RemoveVoter(const HostName& host);
  void Compact(const HostName& host);
  //! Advances the clock by `time` in small steps, delivering every message that
  //! does not cross a partition and persisting every batch.
  void RunFor(std::chrono::milliseconds time);

  //! Returns the violations of the log's guarantees seen so far.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  //! Returns the leader that holds a lease; empty if there is none.
  HostName Leader() const;
  //! Returns the payloads that a host has applied, in order.
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
  //! Fault injection: batches are acknowledged before they are written.
  bool confirms_too_early = false;
  TimePoint Now() const { return this->now; }

 private:
  struct Host {
    std::unique_ptr<AgreedLog> log;
    RecoveredLog disk;
    std::deque<LogBatch> pending;
    std::vector<std::string> applied;
    //! Largest number of payloads ever applied; reset when the disk is lost.
    std::size_t max_applied = 0;
    //! Whether the host starts with the initial voters; false after a disk
    //! loss.
    bool bootstraps = true;
  };
  struct Message {
    HostName from;
    LogSend send;
  };

  void ApplyEffects(const HostName& host, LogEffects effects);
  void Apply(const HostName& host, const LogEntry& entry);
  static void Write(RecoveredLog& disk, const LogBatch& batch);
  //! Records a violation if more than one leader holds a lease.
  void CheckLeases();

  TimePoint now{std::chrono::hours(1)};
  SeededRandom random{7};
  std::set<HostName> initial_voters;
  std::map<HostName, Host> hosts;
  std::vector<Message> messages;
  std::set<HostName> isolated;
  std::set<HostName> stalled;
  //! First entry seen committed at each index, on any host.
  std::map<LogIndex, std::string> committed_entries;
  std::vector<std::string> violations;
};

}  // namespace tamarackwing::state
