#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::daemon {

//! Expected waits in this region and in others, from probes of their hosts.
//! Thread safety: every method is callable from any thread.
class RegionTable final : public gateway::RegionHosts {
 public:
  //! Preconditions: `clock` outlives the table; `prefill_rate`, the prompt
  //! tokens that one server prefills per second, is positive.
  RegionTable(const Clock& clock, double prefill_rate);

  //! Sets the prefill rate of one server; precondition as in the constructor.
  void SetPrefillRate(double next);
  //! Records the reply of `host` to a probe, and its round-trip time.
  void NoteProbe(const state::HostRecord& host,
                 const control::ProbeReply& reply,
                 Duration round_trip);
  //! Replaces the loads of this host's own region.
  void NoteOwnLoads(const std::vector<control::TargetLoad>& loads);
  Duration OwnWait(const std::string& target) override;
  //! Replaces the neighbours.
  void SetNeighbours(std::vector<gateway::ForwardTarget> hosts);
  std::vector<gateway::ForwardTarget> Candidates(
      const std::string& target) override;
  std::vector<gateway::ForwardTarget> Neighbours() override;

 private:
  //! The last probe reply from another region.
  struct Region {
    state::HostRecord host;
    //! By target.
    std::map<std::string, control::TargetLoad> loads;
    Duration round_trip{};
    //! When the reply arrived.
    TimePoint at;
  };

  //! Returns the time that the servers of a target need for its pending prefill
  //! if that is evenly distributed over them.
  Duration PrefillWait(const control::TargetLoad& load) const;

  const Clock& clock;
  double prefill_rate;
  std::mutex mutex;
  //! Loads of this region, by target.
  std::map<std::string, control::TargetLoad> own_loads;
  std::map<RegionName, Region> regions;
  std::vector<gateway::ForwardTarget> neighbours;
};

}  // namespace tamarackwing::daemon
