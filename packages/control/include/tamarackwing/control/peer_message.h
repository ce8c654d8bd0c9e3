#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/budget_messages.h"
#include "tamarackwing/policy/rate_messages.h"
#include "tamarackwing/policy/server_report.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/ledger_message.h"
#include "tamarackwing/state/log_message.h"

namespace tamarackwing::control {

//! What a host says of itself to the leader, by way of its source.
struct HostStatus {
  state::HostRecord record;
  LogIndex applied = 0;
  SetVersion version = 0;
  //! The last epoch of which it holds its region's whole ledger.
  std::uint64_t synced_epoch = 0;
  //! How old the status was when the message left.
  std::chrono::milliseconds age{0};
};

//! Asks a source for what was committed, and carries statuses up.
struct FeedRequest {
  //! Counts the sender's requests.
  std::uint64_t number = 0;
  LogIndex next = 1;
  std::vector<HostStatus> statuses;
};

//! What was committed, in whole or in part.
struct FeedReply {
  //! The request that it answers; zero for news nobody asked for.
  std::uint64_t number = 0;
  std::vector<state::LogEntry> entries;
  //! Set where the entries are no longer held.
  std::optional<state::LogSnapshot> snapshot;
  LogIndex commit = 0;
  //! How long ago the source had word from a leader; nothing where never.
  std::optional<std::chrono::milliseconds> leader_contact_age;
  HostName leader;
};

//! A change on its way to the leader.
struct ProposeRequest {
  std::uint64_t number = 0;
  std::string payload;
};

//! What became of a change.
struct ProposeReply {
  std::uint64_t number = 0;
  state::ApplyOutcome outcome;
};

//! Keys that are withdrawn at once, before the log says so.
struct WithdrawalNotice {
  std::vector<KeyDigest> digests;
};

//! A count of one target of a region.
struct TargetLoad {
  std::string target;
  std::uint32_t slots = 0;
  std::uint32_t demand = 0;
  std::uint32_t servers = 0;
  //! Prompt tokens that were sent and have not been read.
  TokenCount pending_prefill = 0;
};

//! Tokens that one host started for a workspace.
struct ServedTokens {
  std::string target;
  WorkspaceName workspace;
  TokenCount tokens = 0;
};

//! What a host tells the others of its region, a few times a second.
struct RegionStatus {
  //! Counts what the sender has told this recipient.
  std::uint64_t number = 0;
  //! The newest number that the recipient has told the sender.
  std::uint64_t echo = 0;
  //! The epoch of the view that it goes by.
  std::uint64_t epoch = 0;
  bool draining = false;
  std::vector<TargetLoad> loads;
  std::vector<ServedTokens> served;
  //! Announcements that came straight to it.
  std::vector<policy::ServerReport> servers;
};

//! Asks a host of another region how it stands there.
struct ProbeRequest {
  std::uint64_t number = 0;
};

//! How a region stands.
struct ProbeReply {
  std::uint64_t number = 0;
  RegionName region;
  std::vector<TargetLoad> loads;
};

//! Asks the leader how far each host is.
struct StatusRequest {
  std::uint64_t number = 0;
};

//! How far one host is.
struct HostProgress {
  HostName host;
  SetVersion version = 0;
  bool is_live = false;
};

//! The leader's view of the hosts.
struct StatusReply {
  std::uint64_t number = 0;
  HostName leader;
  SetVersion version = 0;
  std::vector<HostName> voters;
  std::vector<HostProgress> hosts;
};

//! Reports of backend servers that came to a host with control state, for the
//! entry hosts of the servers' region.
struct ServerReports {
  std::vector<policy::ServerReport> reports;
};

//! Everything that hosts tell each other.
using PeerMessage = std::variant<state::LogMessage,
                                 state::LedgerMessage,
                                 FeedRequest,
                                 FeedReply,
                                 ProposeRequest,
                                 ProposeReply,
                                 WithdrawalNotice,
                                 RegionStatus,
                                 ProbeRequest,
                                 ProbeReply,
                                 policy::ChunkRequest,
                                 policy::ChunkGrant,
                                 policy::ChunkSettled,
                                 StatusRequest,
                                 StatusReply,
                                 ServerReports,
                                 policy::RateReport,
                                 policy::RateGrant>;

//! A message and where it goes.
struct PeerSend {
  HostName to;
  PeerMessage message;
};

}  // namespace tamarackwing::control
