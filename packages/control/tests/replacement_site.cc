#include "replacement_site.h"

#include <algorithm>

#include "tamarackwing/control/membership_plan.h"

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOneWay{80};
constexpr milliseconds kStartLimit{30'000};

}  // namespace

std::vector<state::HostRecord> HostsFor(std::size_t tolerated) {
  const std::size_t per_region = (VotersFor(tolerated) + 2) / 3;
  std::vector<state::HostRecord> hosts =
      HostsOf({"muscat", "salalah", "sohar"}, per_region, 1);
  while (hosts.size() > VotersFor(tolerated) + 3) {
    hosts.erase(std::find_if(
        hosts.begin(), hosts.end(), [](const state::HostRecord& host) {
          return host.has_disk && host.region == RegionName("sohar");
        }));
  }
  return hosts;
}

std::set<HostName> FirstWithDisks(const std::vector<state::HostRecord>& hosts) {
  std::set<RegionName> regions;
  std::set<HostName> first;
  for (const state::HostRecord& host : hosts) {
    if (host.has_disk && regions.insert(host.region).second) {
      first.insert(host.name);
    }
  }
  return first;
}

ReplacementSite::ReplacementSite(const std::vector<state::HostRecord>& hosts,
                                 const std::set<HostName>& seeds,
                                 std::size_t tolerated)
    : cluster(hosts, seeds, kOneWay, VotersFor(tolerated)),
      records(hosts),
      tolerated(tolerated) {}

bool ReplacementSite::Start() {
  const bool is_ready =
      this->cluster
          .RunUntil([&] { return this->cluster.AllReady(); }, kStartLimit)
          .has_value() &&
      this->cluster
          .RunUntil(
              [&] {
                return this->Voters().size() == VotersFor(this->tolerated);
              },
              kStartLimit)
          .has_value();
  this->cluster.Run(milliseconds(1'000));
  return is_ready;
}

std::set<HostName> ReplacementSite::Voters() {
  const HostName leader = this->cluster.Leader();
  return leader.IsEmpty() ? std::set<HostName>()
                          : this->cluster.Node(leader).Voters();
}

std::vector<HostName> ReplacementSite::UpHosts() const {
  std::vector<HostName> up;
  for (const HostName& host : this->cluster.Names()) {
    if (this->cluster.IsUp(host)) {
      up.push_back(host);
    }
  }
  return up;
}

std::vector<HostName> ReplacementSite::UpHostsWithDisks() const {
  std::vector<HostName> up;
  for (const state::HostRecord& host : this->records) {
    if (host.has_disk && this->cluster.IsUp(host.name)) {
      up.push_back(host.name);
    }
  }
  return up;
}

std::vector<HostName> ReplacementSite::Holders(std::size_t count) {
  const HostName leader = this->cluster.Leader();
  std::vector<HostName> holders;
  for (const HostName& voter : this->Voters()) {
    const bool holds =
        this->cluster.IsUp(voter) &&
        this->cluster.Node(voter).State().SetNumber() == this->set_number;
    if (holds) {
      holders.insert(voter == leader ? holders.begin() : holders.end(), voter);
    }
  }
  holders.resize(std::min(count, holders.size()));
  return holders;
}

state::HostRecord ReplacementSite::RecordOf(const HostName& name) const {
  return *std::find_if(
      this->records.begin(), this->records.end(),
      [&](const state::HostRecord& host) { return host.name == name; });
}

bool ReplacementSite::ReplaceAt(const HostName& host) {
  state::ReplaceSet change;
  change.number = ++this->set_number;
  change.document = "document " + std::to_string(change.number);
  const std::uint64_t id = this->cluster.Change(host, change);
  return this->cluster
      .RunUntil([&] { return this->cluster.Outcome(host, id).has_value(); },
                kAcknowledgeLimit)
      .has_value();
}

HostName ReplacementSite::AnyEntryHost(
    const std::set<HostName>& excluded) const {
  for (const state::HostRecord& host : this->records) {
    if (host.IsEntryHost() && this->cluster.IsUp(host.name) &&
        !excluded.contains(host.name)) {
      return host.name;
    }
  }
  return {};
}

state::HostRecord ReplacementSite::Lose(const HostName& host) {
  this->cluster.Crash(host);
  this->lost += 1;
  return this->SuccessorOf(host);
}

state::HostRecord ReplacementSite::SuccessorOf(const HostName& host) {
  constexpr std::size_t kFirstNumber = 200;
  state::HostRecord successor = this->RecordOf(host);
  this->successors += 1;
  successor.name = HostName(successor.region.Text() + "-" +
                            std::to_string(kFirstNumber + this->successors));
  return successor;
}

void ReplacementSite::StartSuccessors(
    const std::vector<state::HostRecord>& started) {
  this->NameSeeds();
  for (const state::HostRecord& successor : started) {
    this->records.push_back(successor);
    this->cluster.Add(successor);
  }
}

void ReplacementSite::NameSeeds() {
  constexpr std::size_t kSeeds = 3;
  std::set<HostName> seeds;
  for (const HostName& host : this->UpHostsWithDisks()) {
    if (seeds.size() < kSeeds) {
      seeds.insert(host);
    }
  }
  this->cluster.SetSeeds(seeds);
}

std::vector<HostName> ReplacementSite::CrashAll() {
  std::vector<HostName> up = this->UpHosts();
  for (const HostName& host : up) {
    this->cluster.Crash(host);
  }
  return up;
}

void ReplacementSite::RestartAll(const std::vector<HostName>& hosts) {
  for (const HostName& host : hosts) {
    this->cluster.Restart(host);
  }
}

bool ReplacementSite::IsReadable() {
  const std::vector<HostName> up = this->UpHosts();
  return std::all_of(up.begin(), up.end(), [&](const HostName& host) {
    return this->cluster.Now() -
                   this->cluster.SnapshotOf(host)->leader_contact <
               std::chrono::seconds(4) &&
           this->cluster.Node(host).State().SetNumber() == this->set_number;
  });
}

std::set<HostName> ReplacementSite::GoneVoters() {
  std::set<HostName> gone;
  for (const HostName& voter : this->Voters()) {
    if (!this->cluster.IsUp(voter)) {
      gone.insert(voter);
    }
  }
  return gone;
}

std::string ReplacementSite::Describe() {
  std::string text = "leader " + this->cluster.Leader().Text() + "; voters";
  for (const HostName& voter : this->Voters()) {
    text += " " + voter.Text() + (this->cluster.IsUp(voter) ? "" : " (gone)");
  }
  text += "; up with disks";
  for (const HostName& host : this->UpHostsWithDisks()) {
    const ControlNode& node = this->cluster.Node(host);
    text += " " + host.Text() + " (set " +
            std::to_string(node.State().SetNumber()) + ", " +
            std::to_string(node.Voters().size()) + " voters, follows " +
            node.Leader().Text() + ")";
  }
  return text;
}

}  // namespace tamarackwing::control
