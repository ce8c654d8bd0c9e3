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

//! The times of the control state.
struct ControlTimes {
  std::chrono::milliseconds heartbeat{300};
  std::chrono::milliseconds election{1'500};
  std::chrono::milliseconds host_lost{3'000};
  std::chrono::milliseconds key_freshness{5'000};
  std::chrono::milliseconds chunk_life{2'000};
};

//! The listeners of an adapter; port zero opens none.
struct AdapterEndpoints {
  http::Endpoint callers;
  http::Endpoint readiness;
  http::Endpoint control;
  http::Endpoint directory;
};

//! How the hosts find each other where they are not all named.
struct Membership {
  //! Hosts with disks that found the log together, and answer later ones.
  std::vector<std::string> seeds;
  //! The port of every host's peers' listener.
  std::uint16_t peer_port = 0;
  //! Hosts with disks are admitted as voters up to this number.
  std::size_t voters = 5;

  bool IsUsed() const { return !this->seeds.empty(); }
};

//! What all hosts together may let through in any span beyond a workspace's
//! rate and burst. It makes the hosts' bursts larger, since requests do not
//! come evenly to all hosts.
struct RateTolerance {
  TokenCount tokens = 0;
  //! Part of what rate and burst allow in the span.
  unsigned percent = 0;
  std::chrono::seconds span{0};
};

//! The settings of one host.
struct Settings {
  gateway::GatewaySettings gateway;
  //! Empty where the host has no disk.
  std::string data_folder;
  std::string span_file;
  LogLevel log_level = LogLevel::kInfo;
  std::size_t traffic_threads = 2;
  http::Endpoint callers;
  http::Endpoint backend_servers;
  http::Endpoint operators;
  //! Digest of the operators' token; empty refuses all orders.
  std::string operator_token_digest;
  //! All hosts known at the start, this one among them.
  std::vector<state::HostRecord> hosts;
  AdapterEndpoints adapter;
  //! Serves metrics by itself; port zero opens none.
  http::Endpoint metrics;
  Membership membership;
  //! The first start of a cluster, at which its voters found the log.
  bool found_log = false;
  //! The region of each data centre.
  std::map<DataCentreName, RegionName> data_centres;
  //! What may pass beyond a workspace's rate and burst in a few seconds.
  RateTolerance rate_tolerance;
  //! Second sends that the hosts together may make in a few seconds besides a
  //! part of the requests.
  std::uint32_t fleet_retries = 0;
  //! The first voters of the agreed log.
  std::vector<HostName> voters;
  http::ServerLimits limits;
  policy::ServerTableLimits servers;
  ControlTimes times;
  //! Tokens a second for routes open to all, for each host.
  TokenCount open_rate = 1'000;
  std::chrono::milliseconds drain_limit{60'000};
  //! How long a host that is to stop goes on serving who still comes; what it
  //! takes then must end within the drain limit.
  std::chrono::milliseconds drain_serves{0};
};

//! Reads settings from TOML; on failure every fault with its path and line.
//! Thread safety: reentrant.
Expected<Settings, config::Faults> ParseSettings(std::string_view toml);

}  // namespace tamarackwing::daemon
