#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/policy/offered_work.h"
#include "tamarackwing/policy/spill_plan.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::daemon {

//! How a region table plans which calls move to other regions.
struct SpillOptions {
  //! The region of this host.
  RegionName own;
  policy::OfferedWorkOptions work;
};

//! A target's spill plan and the information it was made from, for operators.
struct SpillReport {
  std::string target;
  //! The own region first, then the others in order of their names.
  std::vector<policy::RegionWork> regions;
  std::vector<policy::SpillShare> shares;
  //! Age of the oldest information used.
  Duration age{};
  Duration prefill{};
};

//! Expected waits in this region and in others, from probes of their hosts, the
//! work that this host's callers offer, and the spill plans made from them.
//! Thread safety: every method is callable from any thread.
class RegionTable final : public gateway::RegionHosts {
 public:
  //! Preconditions: `clock` outlives the table; `prefill_rate`, the prompt
  //! tokens that one server prefills per second, is positive.
  RegionTable(const Clock& clock, double prefill_rate);
  //! As above, and makes spill plans, too.
  RegionTable(const Clock& clock, double prefill_rate, SpillOptions spill);

  //! Sets the prefill rate of one server; precondition as in the constructor.
  void SetPrefillRate(double next);
  //! Records the reply of `host` to a probe, and its round-trip time.
  void NoteProbe(const state::HostRecord& host,
                 const control::ProbeReply& reply,
                 Duration round_trip);
  //! Sets the usable servers of a target and all their slots.
  void SetServers(const std::string& target,
                  std::uint32_t servers,
                  std::uint32_t slots);
  //! Returns the work for a target that callers of this host offer; zero if no
  //! plans are made.
  policy::WorkRate OfferedOf(const std::string& target);
  //! Replaces the loads of this host's own region, and renews the plans.
  //! Precondition: called a few times a second; the plans expire 3 s later.
  void NoteOwnLoads(const std::vector<control::TargetLoad>& loads);
  Duration OwnWait(const std::string& target) override;
  //! Replaces the neighbours.
  void SetNeighbours(std::vector<gateway::ForwardTarget> hosts);
  std::vector<gateway::ForwardTarget> Candidates(
      const std::string& target) override;
  std::vector<gateway::ForwardTarget> Neighbours() override;
  std::shared_ptr<const gateway::SpillPlan> PlanFor(
      const std::string& target) override;
  void NoteOffered(const std::string& target,
                   const policy::OfferedCall& call) override;
  void NoteServed(const std::string& target,
                  const policy::ServedCall& call) override;
  //! Returns the targets for which callers of the region offer work.
  std::vector<SpillReport> Spills();

 private:
  //! The last probe reply from another region.
  struct Region {
    state::HostRecord host;
    //! By target.
    std::map<std::string, control::TargetLoad> loads;
    Duration round_trip{};
    //! The round trip without the delays of busy hosts: falls at once and rises
    //! slowly.
    Duration link_round_trip{};
    //! When the reply arrived.
    TimePoint at;
    //! The last entry host that replied, and when.
    state::HostRecord entry_host;
    TimePoint entry_at;
  };
  struct Plan {
    std::shared_ptr<const gateway::SpillPlan> plan;
    SpillReport report;
  };

  //! Returns the time that the servers of a target need for its pending prefill
  //! if that is evenly distributed over them.
  Duration PrefillWait(const control::TargetLoad& load) const;
  //! Makes the plans of all targets of this region. Precondition: `mutex` is
  //! locked and `spill` is set.
  void RenewPlans(TimePoint now);
  Plan MakePlan(const control::TargetLoad& own_load, TimePoint now) const;

  const Clock& clock;
  double prefill_rate;
  std::mutex mutex;
  //! Loads of this region, by target.
  std::map<std::string, control::TargetLoad> own_loads;
  std::map<RegionName, Region> regions;
  std::vector<gateway::ForwardTarget> neighbours;
  //! nullopt if no plans are made.
  std::optional<SpillOptions> spill;
  policy::OfferedWork work;
  std::map<std::string, Plan> plans;
  //! When the plans were made.
  TimePoint planned_at;
};

}  // namespace tamarackwing::daemon
