#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tamarackwing/base/random_source.h"
#include "tamarackwing/control/control_node.h"

namespace tamarackwing::control {

//! Control nodes of some regions, two hosts each, the first with a disk. A net
//! between them delays messages and can be cut; disks write at once.
class ControlCluster {
 public:
  explicit ControlCluster(const std::vector<std::string>& regions,
                          std::size_t hosts_per_region = 2,
                          std::chrono::milliseconds delay = {});

  //! Hosts that know of each other no more than the seeds' names; the seeds
  //! found the log.
  ControlCluster(const std::vector<state::HostRecord>& hosts,
                 const std::set<HostName>& seeds,
                 std::chrono::milliseconds delay);

  //! Lets time pass in small steps.
  void Run(std::chrono::milliseconds time);
  //! Runs until `done`, at most `limit`; how long it took, or nothing.
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

  //! No message passes between these hosts and the others.
  void Cut(const std::set<HostName>& side);
  void Heal();
  void Crash(const HostName& host);
  //! Starts a host again as a new incarnation, with its disk.
  void Restart(const HostName& host);

  //! Takes a host's disk away; it must have crashed.
  void Wipe(const HostName& host) { this->disks.erase(host); }

  //! Proposes a change at a host; its outcome comes with Outcome.
  std::uint64_t Change(const HostName& host,
                       const state::ControlChange& change);
  //! Starts a publish at a host; its outcome comes with Outcome.
  std::uint64_t Publish(const HostName& host,
                        const std::string& id,
                        SetVersion base,
                        const state::ConfigurationSet& set);
  std::optional<state::ApplyOutcome> Outcome(const HostName& host,
                                             std::uint64_t number) const;
  void Withdraw(const HostName& host, const std::string& digest);
  //! Asks for a permit; the verdict comes with Verdict.
  std::uint64_t Ask(const HostName& host,
                    const std::string& region,
                    const std::string& operation);
  std::optional<state::PermitVerdict> Verdict(const HostName& host,
                                              std::uint64_t number) const;
  //! Asks for tokens and returns what the answers have brought so far.
  void RequestTokens(const HostName& host, TokenCount tokens);
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
  //! Hosts that went back to an older version; empty while all is well.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  //! Messages sent so far.
  std::uint64_t Messages() const { return this->sent; }

 private:
  static constexpr std::chrono::milliseconds kStep{10};

  struct Message {
    TimePoint at;
    HostName from;
    PeerSend send;
  };

  void Start(const HostName& host, bool founds);
  void Take(const HostName& host, ControlEffects effects);
  static void Write(state::RecoveredLog& disk, const state::LogBatch& batch);

  TimePoint now{std::chrono::hours(1)};
  std::chrono::milliseconds delay;
  SeededRandom random{11};
  std::map<HostName, state::HostRecord> records;
  std::set<HostName> voters;
  std::set<HostName> seeds;
  std::map<HostName, std::unique_ptr<ControlNode>> nodes;
  std::map<HostName, RecoveredControl> disks;
  std::deque<Message> messages;
  std::set<HostName> cut;
  std::map<std::pair<HostName, std::uint64_t>, state::ApplyOutcome> outcomes;
  std::map<std::pair<HostName, std::uint64_t>, state::PermitVerdict> verdicts;
  std::map<HostName, SetVersion> in_force;
  std::vector<std::string> violations;
  std::uint64_t next_incarnation = 1;
  std::uint64_t next_chunk = 1;
  std::uint64_t sent = 0;
  TokenCount tokens = 0;
};

//! A set with one workspace, one key and one operation route of `region`.
state::ConfigurationSet SmallSet(const std::string& region, TokenCount rate);

}  // namespace tamarackwing::control
