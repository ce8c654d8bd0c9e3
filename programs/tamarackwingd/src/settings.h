#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/event.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/gateway/gateway_settings.h"
#include "tamarackwing/http/endpoint.h"
#include "tamarackwing/http/server.h"
#include "tamarackwing/policy/server_table.h"
#include "tamarackwing/state/host_record.h"

namespace tamarackwing::daemon {

//! Intervals and timeouts of the control state.
struct ControlTimes {
  std::chrono::milliseconds heartbeat{300};
  std::chrono::milliseconds election{1'500};
  std::chrono::milliseconds host_lost{3'000};
  std::chrono::milliseconds key_freshness{5'000};
  std::chrono::milliseconds chunk_life{2'000};
};

//! Endpoints of the listeners of an adapter; port zero disables a listener.
struct AdapterEndpoints {
  http::Endpoint callers;
  http::Endpoint readiness;
  http::Endpoint control;
  http::Endpoint directory;
};

//! How the hosts find each other if the settings do not list all of them.
struct Membership {
  //! Addresses of hosts with disks that bootstrap the log together and that
  //! later hosts contact to join.
  std::vector<std::string> seeds;
  //! Port on which every host listens for its peers.
  std::uint16_t peer_port = 0;
  //! Max voters; hosts with disks become voters up to this number.
  std::size_t voters = 5;
  //! See control::ControlOptions::catch_up.
  std::chrono::milliseconds catch_up{4'000};

  bool IsUsed() const { return !this->seeds.empty(); }
};

//! Tokens that all hosts together may admit in any period of length `span` in
//! addition to those that a workspace's rate and burst admit. They enlarge the
//! bursts of the hosts, because requests are not distributed evenly over the
//! hosts.
struct RateTolerance {
  TokenCount tokens = 0;
  //! Tokens in addition to `tokens`, as a percentage of those that rate and
  //! burst admit in a period of length `span`.
  unsigned percent = 0;
  std::chrono::seconds span{0};
};

//! The settings of one host.
struct Settings {
  gateway::GatewaySettings gateway;
  //! Empty if the host has no disk.
  std::string data_folder;
  std::string span_file;
  LogLevel log_level = LogLevel::kInfo;
  std::size_t traffic_threads = 2;
  http::Endpoint callers;
  http::Endpoint backend_servers;
  http::Endpoint operators;
  //! Digest of the operators' token; if empty, no token is accepted.
  std::string operator_token_digest;
  //! All hosts known at the start, including this one.
  std::vector<state::HostRecord> hosts;
  AdapterEndpoints adapter;
  //! Endpoint of the listener that serves only metrics; port zero disables it.
  http::Endpoint metrics;
  Membership membership;
  //! True at the first start of a cluster, when its voters bootstrap the log.
  bool found_log = false;
  //! The region of each data centre.
  std::map<DataCentreName, RegionName> data_centres;
  RateTolerance rate_tolerance;
  //! Retries that all hosts together may make in a few seconds in addition to a
  //! percentage of the requests; zero leaves the reserves of the hosts' retry
  //! budgets unchanged.
  std::uint32_t fleet_retries = 0;
  //! Initial voters of the replicated log.
  std::vector<HostName> voters;
  http::ServerLimits limits;
  policy::ServerTableLimits servers;
  ControlTimes times;
  //! Limit of each host for requests without a workspace, in tokens per second.
  TokenCount open_rate = 1'000;
  //! Max duration of a drain; requests still in progress then are cut off.
  std::chrono::milliseconds drain_limit{60'000};
  //! Time after the start of a drain during which new path calls are still
  //! served; they must end within `drain_limit`, too.
  std::chrono::milliseconds drain_serves{0};
};

//! Parses settings from TOML; on failure returns every validation error with
//! its path and line. Thread safety: reentrant.
Expected<Settings, config::Faults> ParseSettings(std::string_view toml);

}  // namespace tamarackwing::daemon
