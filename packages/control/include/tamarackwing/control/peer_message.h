#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/control/roster_message.h"
#include "tamarackwing/policy/budget_messages.h"
#include "tamarackwing/policy/crash_messages.h"
#include "tamarackwing/policy/rate_messages.h"
#include "tamarackwing/policy/server_load.h"
#include "tamarackwing/policy/server_report.h"
#include "tamarackwing/policy/stream_origin.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/host_record.h"
#include "tamarackwing/state/ledger_message.h"
#include "tamarackwing/state/log_message.h"

namespace tamarackwing::control {

//! A host's status, which it reports to the leader through its replication
//! source.
struct HostStatus {
  state::HostRecord record;
  LogIndex applied = 0;
  SetVersion version = 0;
  //! The last epoch for which the host holds the complete ledger of its region.
  std::uint64_t synced_epoch = 0;
  //! Age of the status when the message was sent.
  std::chrono::milliseconds age{0};
};

//! Requests committed entries from a source and forwards host statuses to it.
struct FeedRequest {
  //! Value of `next` that asks for no entries, only how far the source is.
  static constexpr LogIndex kNoEntries = std::numeric_limits<LogIndex>::max();

  //! Counts the sender's requests.
  std::uint64_t number = 0;
  //! First entry that the sender lacks.
  LogIndex next = 1;
  std::vector<HostStatus> statuses;
};

//! How long a voter has not replied to its leaders.
struct VoterSilence {
  HostName host;
  //! Without the time in which no leader listened.
  std::chrono::milliseconds silence{0};
  //! Time since its last reply; nullopt if the leaders' processes have had none
  //! since they started.
  std::optional<std::chrono::milliseconds> reply_age;
};

//! A snapshot, committed entries, or a snapshot and the entries after it: all
//! that the follower lacks, or only the first of them.
struct FeedReply {
  //! Number of the request; zero for an update without a request.
  std::uint64_t number = 0;
  std::vector<state::LogEntry> entries;
  //! Set if the entries are no longer held, or are too large to send. Comes
  //! before `entries`.
  std::optional<state::LogSnapshot> snapshot;
  LogIndex commit = 0;
  //! Time since the source's last leader contact; nullopt if it never had one.
  std::optional<std::chrono::milliseconds> leader_contact_age;
  HostName leader;
  //! What a leader tells a voter of the other voters; empty from other hosts,
  //! and from builds that do not know it.
  std::vector<VoterSilence> silences;
};

//! Asks the leader to propose a change.
struct ProposeRequest {
  std::uint64_t number = 0;
  std::string payload;
  //! Number of the set that the change puts in force; zero if it is no
  //! ReplaceSet, or the sender is of a build that waits for ProposeReply.
  std::uint64_t set_number = 0;
};

//! The outcome of a proposed change. Only hosts of the former build wait for
//! it: it names less than the whole proposal.
struct ProposeReply {
  std::uint64_t number = 0;
  state::ApplyOutcome outcome;
};

//! Keys that are withdrawn at once, before the withdrawal commits in the log.
struct WithdrawalNotice {
  std::vector<KeyDigest> digests;
};

//! The load of one target, a model version or a service, in a region.
struct TargetLoad {
  std::string target;
  std::uint32_t slots = 0;
  std::uint32_t demand = 0;
  std::uint32_t servers = 0;
  //! Prompt tokens sent whose prefill has not finished.
  TokenCount pending_prefill = 0;
  //! Work that the region's callers offer, whether the region serves it or not,
  //! and the part of it that may run in another region: the server time, in
  //! thousandths of a server. Zero from hosts that do not measure it.
  std::uint32_t offered = 0;
  std::uint32_t movable = 0;
  //! Work that the usable servers can do, in thousandths of a server; zero if
  //! unknown.
  std::uint32_t capacity = 0;
};

//! Tokens of a workspace's requests to one target that the sender started since
//! its previous report.
struct ServedTokens {
  std::string target;
  WorkspaceName workspace;
  TokenCount tokens = 0;
};

//! A server's limit as the sender last heard it.
struct HeardLimit {
  BackendServerName server;
  //! Requests per 1000 seconds from all hosts; nullopt if it names none.
  std::optional<std::uint64_t> per_kilosecond;
  //! Time since the answer when the message was sent.
  std::chrono::milliseconds age{0};
};

//! Signs that the process of a backend server may have been replaced, as the
//! sender knows them; see policy::ServerDoubt.
struct HeardDoubt {
  BackendServerName server;
  std::chrono::milliseconds started{0};
  //! Time since the first and the last sign when the message was sent.
  std::chrono::milliseconds first_age{0};
  std::chrono::milliseconds last_age{0};
  bool is_replaced = false;
};

//! Signs that the sender has seen, for the entry hosts of the servers' region.
struct ServerDoubts {
  std::vector<HeardDoubt> doubts;
};

//! The status that a host sends to the others of its region, a few times a
//! second.
struct RegionStatus {
  //! Counts the sender's statuses to this recipient.
  std::uint64_t number = 0;
  //! The number of the last status that the sender received from the recipient.
  std::uint64_t echo = 0;
  //! The epoch of the membership view that the sender uses.
  std::uint64_t epoch = 0;
  bool draining = false;
  //! Whether the sender's links to all backend servers are down.
  bool links_down = false;
  std::vector<TargetLoad> loads;
  std::vector<ServedTokens> served;
  //! Backend servers' reports that the sender received directly.
  std::vector<policy::ServerReport> servers;
  std::vector<HeardLimit> limits;
  //! Signs that the sender has seen itself and that still count; see
  //! ServerDoubts. A host that missed a notice hears of them here.
  std::vector<HeardDoubt> doubts;
};

//! Requests the load of the recipient's region.
struct ProbeRequest {
  std::uint64_t number = 0;
};

//! The load of a region.
struct ProbeReply {
  std::uint64_t number = 0;
  RegionName region;
  std::vector<TargetLoad> loads;
  //! Whether the links of the host that replies to all backend servers are
  //! down, so that nothing should be forwarded to it.
  bool links_down = false;
};

//! Asks the leader which version is in force on each host.
struct StatusRequest {
  std::uint64_t number = 0;
};

//! The version in force on one host, and whether the host is live.
struct HostProgress {
  HostName host;
  SetVersion version = 0;
  bool is_live = false;
};

//! How the voters stand, as the leader knows it.
struct VoterHealth {
  //! The voters that are lost, the one silent for longest first.
  std::vector<VoterSilence> lost;
  //! The host that catches up before it becomes a voter; empty if there is
  //! none.
  HostName joining;
  //! How many more voters may be lost before there is no majority.
  std::uint32_t losses_left = 0;
};

//! The progress of all hosts as known to the leader.
struct StatusReply {
  std::uint64_t number = 0;
  HostName leader;
  SetVersion version = 0;
  std::vector<HostName> voters;
  std::vector<HostProgress> hosts;
  //! nullopt if the leader does not know, since it has no lease or has not
  //! listened for long enough, or is of a build that does not tell.
  std::optional<VoterHealth> voter_health;
};

//! Reports of backend servers that a control host received, for the hosts with
//! disks in the servers' region, from which entry hosts fetch them.
struct ServerReports {
  std::vector<policy::ServerReport> reports;
};

//! A notice of the leader that the recipient passes on to other hosts, so that
//! the leader need not send it to each of them.
struct RelayedNotice {
  policy::QuarantineNotice notice;
  std::vector<HostName> recipients;
};

//! All messages between hosts.
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
                                 policy::RateGrant,
                                 policy::CrashReport,
                                 policy::QuarantineNotice,
                                 policy::StreamBegun,
                                 policy::StreamQuestion,
                                 policy::StreamAnswer,
                                 RosterRequest,
                                 RosterReply,
                                 policy::TokenRequest,
                                 policy::TokenReply,
                                 policy::TokenReturn,
                                 RelayedNotice,
                                 policy::LoadReport,
                                 policy::LoadSummary,
                                 ServerDoubts>;

//! A message and its recipient.
struct PeerSend {
  HostName to;
  PeerMessage message;
};

}  // namespace tamarackwing::control
