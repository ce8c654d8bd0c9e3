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

//! How other regions stand, from probes of their hosts.
//! Thread safety: every method is callable from any thread.
class RegionTable final : public gateway::RegionHosts {
 public:
  //! Precondition: `clock` outlives the table.
  //! `prefill_rate` of one server, in prompt tokens a second, is positive.
  RegionTable(const Clock& clock, double prefill_rate);

  //! Goes by another rate of one server from now on; as in the constructor.
  void SetPrefillRate(double next);
  //! Takes a probe's answer and the time it took both ways.
  void Note(const state::HostRecord& host,
            const control::ProbeReply& reply,
            Duration round_trip);
  //! Takes the loads of this host's own region.
  void NoteOwn(const std::vector<control::TargetLoad>& loads);
  Duration OwnWait(const std::string& target) override;
  std::vector<gateway::ForwardTarget> Candidates(
      const std::string& target) override;

 private:
  struct Region {
    state::HostRecord host;
    std::map<std::string, control::TargetLoad> loads;
    Duration round_trip{};
    TimePoint at;
  };

  Duration WaitAt(const control::TargetLoad& load) const;

  const Clock& clock;
  double prefill_rate;
  std::mutex mutex;
  std::map<std::string, control::TargetLoad> own;
  std::map<RegionName, Region> regions;
};

}  // namespace tamarackwing::daemon
