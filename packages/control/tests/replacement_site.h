#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "control_cluster.h"

namespace tamarackwing::control {

//! Time from the loss of a host to the start of the one that takes its place.
constexpr std::chrono::milliseconds kSuccessorAfter{1'000};
//! Time from then on after which the next losses must be borne.
constexpr std::chrono::milliseconds kCatchUp{4'000};
//! Time in which operators expect an acknowledgement, and to read it back after
//! a loss of power.
constexpr std::chrono::milliseconds kAcknowledgeLimit{8'000};
constexpr std::chrono::milliseconds kReadLimit{6'000};

//! Returns the hosts of three regions: as many with disks as there are to be
//! voters, and an entry host each.
std::vector<state::HostRecord> HostsFor(std::size_t tolerated);
//! Returns the first host with a disk of each region.
std::set<HostName> FirstWithDisks(const std::vector<state::HostRecord>& hosts);

//! A simulated deployment whose hosts with disks are lost for good, while
//! others take their places.
class ReplacementSite {
 public:
  //! `tolerated` hosts with disks may be lost at once.
  ReplacementSite(const std::vector<state::HostRecord>& hosts,
                  const std::set<HostName>& seeds,
                  std::size_t tolerated);

  //! Returns whether all hosts became ready and enough of them voters.
  bool Start();
  std::size_t Tolerated() const { return this->tolerated; }

  std::set<HostName> Voters();
  std::vector<HostName> UpHosts() const;
  std::vector<HostName> UpHostsWithDisks() const;
  //! Returns voters that hold the newest set, the leader first, `count` at
  //! most.
  std::vector<HostName> Holders(std::size_t count);
  state::HostRecord RecordOf(const HostName& name) const;

  //! Replaces the set and returns whether that was acknowledged in time.
  bool Replace() { return this->ReplaceAt(this->AnyEntryHost({})); }
  bool ReplaceAt(const HostName& host);
  //! Returns an entry host that is up and not among `excluded`.
  HostName AnyEntryHost(const std::set<HostName>& excluded) const;

  //! Loses a host for good. Returns the host that is to take its place.
  state::HostRecord Lose(const HostName& host);
  //! Returns a host that is to take the place of `host`, under a new name.
  state::HostRecord SuccessorOf(const HostName& host);
  //! Starts hosts for the first time, with hosts that are up as seeds.
  void StartSuccessors(const std::vector<state::HostRecord>& successors);
  //! Names hosts that are up as the seeds of those that start from now on.
  void NameSeeds();

  //! Ends all processes. Returns the hosts on which they ran.
  std::vector<HostName> CrashAll();
  void RestartAll(const std::vector<HostName>& hosts);

  //! Returns whether every running host has the newest set and recent leader
  //! contact.
  bool IsReadable();
  //! Returns the voters that do not run.
  std::set<HostName> GoneVoters();
  //! Returns voters, who leads and who does not run, for messages.
  std::string Describe();

  ControlCluster cluster;
  std::vector<state::HostRecord> records;
  std::size_t lost = 0;
  std::uint64_t set_number = 0;

 private:
  std::size_t tolerated;
  std::size_t successors = 0;
};

}  // namespace tamarackwing::control
