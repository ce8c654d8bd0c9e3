#pragma once

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/channel.h"
#include "tamarackwing/control/control_node.h"

namespace tamarackwing::control {

//! What may happen to each message between hosts, in percent of them.
struct Disturbance {
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t late = 0;
  //! Longest additional delay of a late message or a second copy.
  std::chrono::milliseconds longest_delay{0};
};

//! Control nodes of several regions on simulated time. The network between them
//! delays messages and can be partitioned; disk writes finish at once, unless a
//! disk is stalled. A host sends messages only to hosts whose addresses its
//! process has learnt: from its settings, from the agreed state, or from a
//! message of that host.
class ControlCluster {
 public:
  //! Starts `hosts_per_region` hosts in each region, of which the first has a
  //! disk. The first three hosts with disks are the initial voters.
  explicit ControlCluster(const std::vector<std::string>& regions,
                          std::size_t hosts_per_region = 2,
                          std::chrono::milliseconds delay = {});

  //! Starts hosts that know only the names of the seeds, which bootstrap the
  //! log.
  ControlCluster(const std::vector<state::HostRecord>& hosts,
                 const std::set<HostName>& seeds,
                 std::chrono::milliseconds delay,
                 std::size_t max_voters = 5);

  //! Advances time in steps of kStep.
  void Run(std::chrono::milliseconds time);
  //! Runs until `done` returns true. Returns how long that took, or nullopt if
  //! it did not happen within `limit`.
  template <typename Done>
  std::optional<std::chrono::milliseconds> RunUntil(
      Done done,
      std::chrono::milliseconds limit) {
    const TimePoint start = this->now;
    while (!done()) {
      if (this->now - start >= limit) {
        return std::nullopt;
      }
      this->Run(kStep);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->now -
                                                                 start);
  }

  //! Partitions the network between these hosts and all others.
  void Partition(const std::set<HostName>& side);
  void Heal();
  //! Limits what a host can send, and what it can receive, in bytes a second.
  //! The connections of a host share its link evenly, and each delivers its
  //! messages in order. Precondition: `rate` is positive.
  void LimitLink(const HostName& host, std::uint64_t rate);
  //! Limits what each connection between hosts with limited links can send, in
  //! bytes a second, as a small window over a long distance does.
  void LimitConnections(std::uint64_t rate) { this->connection_rate = rate; }
  //! Returns the bytes that hosts with limited links have sent and received, up
  //! to those of messages that were dropped on the way.
  std::uint64_t LinkBytes() const { return this->link_bytes; }
  //! Disturbs messages that are sent from now on.
  void Disturb(const Disturbance& next) { this->disturbance = next; }
  //! Suspends a host: it neither runs nor receives anything until Resume.
  void Suspend(const HostName& host) { this->suspended.insert(host); }
  void Resume(const HostName& host) { this->suspended.erase(host); }
  //! Stops a host's disk: what is written from now on waits until ResumeDisk,
  //! and is lost if the host crashes before.
  void StallDisk(const HostName& host) { this->unwritten[host]; }
  void ResumeDisk(const HostName& host);
  bool IsDiskStalled(const HostName& host) const {
    return this->unwritten.contains(host);
  }
  void Crash(const HostName& host);
  //! Restarts a crashed host as a new incarnation with its disk.
  void Restart(const HostName& host);

  //! Adds a host that has never run before.
  void Add(const state::HostRecord& record);
  //! Changes the seeds that hosts find in their settings from their next start
  //! on.
  void SetSeeds(std::set<HostName> next) { this->seeds = std::move(next); }

  //! Erases a host's disk. Precondition: the host has crashed.
  void Wipe(const HostName& host) { this->disks.erase(host); }

  //! Proposes a change at a host. Returns its number for Outcome.
  std::uint64_t Change(const HostName& host,
                       const state::ControlChange& change);
  //! Publishes a configuration set at a host. Returns its number for Outcome.
  std::uint64_t Publish(const HostName& host,
                        const std::string& id,
                        SetVersion base,
                        const state::ConfigurationSet& set);
  std::optional<state::ApplyOutcome> Outcome(const HostName& host,
                                             std::uint64_t number) const;
  void Withdraw(const HostName& host, const std::string& digest);
  void ReportCrashes(const HostName& host, const policy::CrashReport& report);
  //! Returns how many notices of the quarantine a host has got.
  std::size_t NoticesAt(const HostName& host) { return this->notices[host]; }
  //! Delivers a backend server's report to a host.
  void RelayServer(const HostName& host, const policy::ServerReport& report);
  //! Returns the last report that a host has got of each server.
  const std::map<BackendServerName, policy::ServerReport>& ServersKnownTo(
      const HostName& host) {
    return this->servers[host];
  }
  //! Tells the host's region of signs that a server was replaced.
  void TellDoubts(const HostName& host, std::vector<HeardDoubt> doubts);
  //! Returns the signs that a host was told.
  const std::vector<HeardDoubt>& DoubtsToldTo(const HostName& host) {
    return this->doubts[host];
  }
  //! Requests a permit. Returns its number for Verdict.
  std::uint64_t RequestPermitAt(const HostName& host,
                                const std::string& region,
                                const std::string& operation);
  std::optional<state::PermitVerdict> Verdict(const HostName& host,
                                              std::uint64_t number) const;
  //! Requests a chunk of tokens.
  void RequestTokens(const HostName& host, TokenCount tokens);
  //! Returns the tokens granted so far.
  TokenCount Tokens() const { return this->tokens; }

  HostName Leader() const;
  bool IsUp(const HostName& host) const { return this->nodes.contains(host); }
  ControlNode& Node(const HostName& host) { return *this->nodes.at(host); }
  std::shared_ptr<const state::Snapshot> SnapshotOf(const HostName& host) {
    return this->nodes.at(host)->MakeSnapshot(this->now);
  }
  std::vector<HostName> Names() const;
  std::set<HostName> HostsOf(const std::string& region) const;
  bool AllReady() const;
  TimePoint Now() const { return this->now; }
  //! Records a violation from now on whenever a host claims a leader contact
  //! that is newer than what it has applied.
  void CheckLeaderContacts() { this->checks_contacts = true; }
  //! Returns a message for each time a ready host reverted to an older version,
  //! and for what CheckLeaderContacts records.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  //! Returns the number of messages sent so far.
  std::uint64_t Messages() const { return this->sent; }
  //! As Messages, of one kind (see MessageKind).
  std::uint64_t MessagesOfKind(const std::string& kind) {
    return this->sent_by_kind[kind];
  }
  //! Returns the number of log entries that leaders have sent so far, counting
  //! each for each voter that it was sent to.
  std::uint64_t EntriesSent() const { return this->entries_sent; }

 private:
  static constexpr std::chrono::milliseconds kStep{10};

  struct Message {
    HostName from;
    PeerSend send;
  };

  //! A message that has not been sent completely.
  struct Transfer {
    PeerSend send;
    std::uint64_t unsent = 0;
    //! When bytes of it were last sent.
    TimePoint moved;
  };
  using Connection = std::tuple<HostName, HostName, Channel>;

  //! Sends for one step over the limited links.
  void RunLinks();
  //! Returns whether a message between these hosts takes time to send.
  bool IsLimited(const HostName& from, const HostName& to) const;
  void Start(const HostName& host, bool bootstraps);
  void LearnHosts(const HostName& host);
  //! Puts a message on its way.
  void Post(const HostName& from, PeerSend send);
  //! Returns a random number up to `longest`.
  std::chrono::milliseconds RandomDelay(std::chrono::milliseconds longest);
  void ApplyEffects(const HostName& host, ControlEffects effects);
  //! Writes a batch to a host's disk and acknowledges it.
  void Write(const HostName& host, const state::LogBatch& batch);
  void Write(const HostName& host, const state::LedgerBatch& batch);
  void CheckContacts();

  TimePoint now{std::chrono::hours(1)};
  std::chrono::milliseconds delay;
  std::size_t max_voters = 0;
  SeededRandom random{11};
  std::map<HostName, state::HostRecord> records;
  std::set<HostName> voters;
  std::set<HostName> seeds;
  std::map<HostName, std::unique_ptr<ControlNode>> nodes;
  std::map<HostName, RecoveredControl> disks;
  //! The hosts whose addresses each running process knows.
  std::map<HostName, std::set<HostName>> known;
  //! By the time at which they arrive.
  std::multimap<TimePoint, Message> messages;
  //! Bytes a second, of the hosts whose links are limited.
  std::map<HostName, std::uint64_t> link_rates;
  std::uint64_t connection_rate = std::numeric_limits<std::uint64_t>::max();
  std::map<Connection, std::deque<Transfer>> transfers;
  std::uint64_t link_bytes = 0;
  Disturbance disturbance;
  std::set<HostName> partition;
  std::set<HostName> suspended;
  //! Batches that wait for stalled disks.
  std::map<HostName,
           std::deque<std::variant<state::LogBatch, state::LedgerBatch>>>
      unwritten;
  bool checks_contacts = false;
  //! The highest entry that any host had applied, by the time of each step in
  //! which it rose.
  std::map<TimePoint, LogIndex> highest_applied;
  std::map<std::pair<HostName, std::uint64_t>, state::ApplyOutcome> outcomes;
  std::map<std::pair<HostName, std::uint64_t>, state::PermitVerdict> verdicts;
  std::map<HostName, SetVersion> newest_versions;
  std::vector<std::string> violations;
  std::uint64_t next_incarnation = 1;
  std::uint64_t next_chunk = 1;
  std::uint64_t sent = 0;
  std::uint64_t entries_sent = 0;
  std::map<std::string, std::uint64_t> sent_by_kind;
  std::map<HostName, std::map<BackendServerName, policy::ServerReport>> servers;
  std::map<HostName, std::vector<HeardDoubt>> doubts;
  std::map<HostName, std::size_t> notices;
  TokenCount tokens = 0;
};

//! Returns hosts of each region, named and ordered by number: `with_disks`
//! first, then `entry_hosts` without disks.
std::vector<state::HostRecord> HostsOf(const std::vector<std::string>& regions,
                                       std::size_t with_disks,
                                       std::size_t entry_hosts);

//! Returns the names of the hosts without disks.
std::vector<HostName> NamesWithoutDisks(
    const std::vector<state::HostRecord>& hosts);

//! Returns an empty configuration set with a number.
state::ReplaceSet NumberedSet(std::uint64_t number);

//! Returns a configuration set with one residency rule, one workspace and one
//! key, whose home region is `region`.
state::ConfigurationSet SmallSet(const std::string& region, TokenCount rate);

}  // namespace tamarackwing::control
