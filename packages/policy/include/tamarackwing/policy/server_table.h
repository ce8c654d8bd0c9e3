#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/prefill_pool.h"
#include "tamarackwing/policy/server_load.h"
#include "tamarackwing/policy/server_report.h"
#include "tamarackwing/policy/server_statement.h"
#include "tamarackwing/policy/server_warmth.h"
#include "tamarackwing/policy/shared_load.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::policy {

//! Timeouts, default speeds and sizes of a server table.
struct ServerTableLimits {
  //! Validity of an announcement; a server that has not renewed within it gets
  //! no requests (but see `lapsed`).
  std::chrono::milliseconds lease{3'000};
  //! Ejection time after the first failure; doubles with each further failure,
  //! up to `max_ejection`.
  std::chrono::milliseconds base_ejection{500};
  std::chrono::milliseconds max_ejection{30'000};
  //! A server that has requests in flight and has sent nothing for this long
  //! gets no new ones; zero disables the check.
  std::chrono::milliseconds silence{0};
  //! Slow start: the time over which a new or readmitted server's slots grow
  //! to their full number; zero disables it.
  std::chrono::milliseconds ramp{5'000};
  //! Added to the expected cost of a server in another data centre.
  std::chrono::milliseconds other_data_centre{2};
  //! How long after the end of its lease a server may still be chosen if no
  //! server with a lease is left: it may be healthy while its reports do not
  //! get through.
  std::chrono::milliseconds lapsed{0};
  //! How long a software version counts as in service after the last report
  //! that named it, and for how long reports must have come before the only
  //! version that they named is taken for the only one: longer than a stream
  //! lasts.
  std::chrono::milliseconds software_span{60'000};
  //! How long a server counts as cold after the last sign that its process may
  //! have been replaced, if no report ends that before: longer than a server
  //! takes to warm up.
  std::chrono::milliseconds doubt{10'000};
  //! How long after its start a host takes no server for warm by a report from
  //! before its start: it hears meanwhile of the signs that other hosts of the
  //! region have seen.
  std::chrono::milliseconds start_doubt{1'000};
  //! Assumed prompt tokens per second of a server that reports no rate.
  double prefill_rate = 2'000;
  //! Assumed output tokens per second and request of a server that reports no
  //! rate.
  double decode_rate = 50;
  //! Max prompt prefixes tracked per server; the oldest is evicted first.
  std::size_t prefixes = 1024;
  //! Uses what other hosts have on each server, and its speed, while summaries
  //! of the region's load collector arrive; see SharedLoad.
  bool shares_loads = false;
  //! Prompt tokens per second of an undisturbed server, for the waits that are
  //! computed from shared loads; `prefill_rate` is that of a server under load.
  double shared_prefill_rate = 30'000;
};

//! One block of a prompt prefix, as an engine's KV cache stores it.
struct PrefixBlock {
  //! Digest of this block and all blocks before it.
  std::uint64_t digest = 0;
  TokenCount tokens = 0;
};

//! The request for which a server is chosen, and constraints on the choice.
struct ServerQuery {
  //! The requested model version or service.
  std::string target;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  //! Digest of the prompt's prefix; zero if unknown.
  std::uint64_t prefix = 0;
  //! The prompt's blocks in order; a cached block is reusable only if all
  //! blocks before it are cached, too.
  std::vector<PrefixBlock> prefix_blocks;
  //! Requests with the same value are co-located for prefix-cache affinity;
  //! zero if the request has no affinity.
  std::uint64_t affinity = 0;
  //! Length of the prefix that requests with this affinity share.
  TokenCount affinity_tokens = 0;
  //! Whether the prompt's prefill makes the streams of its server pause; see
  //! PrefillPool.
  bool is_long_prompt = false;
  //! The pause between two events that callers of the target's streams allow;
  //! zero if unknown. That much more wait is accepted to keep long prompts and
  //! streams on different servers.
  Duration pause_allowance{};
  //! Returns how many requests per second this host may send to a server that
  //! is warming up; null for no limit.
  std::function<std::uint32_t(const BackendServerName&)> cold_allowance;
  //! Data centres closed for new requests; null for none.
  const std::set<DataCentreName>* closed = nullptr;
  //! Digest of the software version that the server must have; nullopt for any.
  std::optional<std::uint64_t> software;
  //! The data centre of the choosing host.
  DataCentreName data_centre;
  //! Servers to skip because this request has already tried them.
  std::set<BackendServerName> tried;
};

//! What the outcome of one try shows about the server's health.
enum class HealthSignal {
  //! Healthy: it responded, even if only to report that it is full.
  kAnswered,
  //! It did not accept a connection, or the try failed and the kind of failure
  //! is not distinguished.
  kUnreachable,
  //! The connection failed before the response was complete, or the response
  //! was malformed or too large.
  kBroken,
  //! The try timed out while waiting for the first or for further bytes of the
  //! response.
  kSilent,
  //! The outcome does not show the server's health: for example, the try was
  //! cancelled, or a reused connection was already closed.
  kInconclusive,
};

//! Returns the signal's name in logs. Thread safety: reentrant.
std::string_view HealthSignalName(HealthSignal signal);

//! What a server's answer says about the requests per second that it takes
//! from all hosts together.
struct ServerLimit {
  BackendServerName server;
  //! Requests per 1000 seconds; nullopt if it names no limit (any more).
  std::optional<std::uint64_t> per_kilosecond;
  //! When the answer arrived at a host of this region.
  TimePoint heard;
};

//! What an answer changed in what is believed of its server.
struct StatementChanges {
  //! The server names a limit for the first time, or none any more.
  bool limit = false;
  //! It says for the first time that rejections make it fall over, or does not
  //! say so any more.
  bool tolerance = false;
  //! It says for the first time that it is shutting down.
  bool leaving = false;
  //! It gets no requests until then.
  std::optional<TimePoint> paused_until;
};

//! A report's process has replaced the known one of the same server.
struct ProcessChange {
  //! Start time of the former process; see ServerReport.
  std::chrono::milliseconds former{0};
  //! Time since the former process's last report was applied.
  Duration silent{};
  //! Requests that this host has sent to the server in the last second.
  std::uint32_t sent = 0;
};

//! What a report changed.
struct ReportChanges {
  //! The server was not known.
  bool is_new = false;
  std::optional<ProcessChange> process;
};

//! What the host believes of a server, for logs.
struct ServerBelief {
  //! Start time of the process; see ServerReport.
  std::chrono::milliseconds started{0};
  //! Number of the last report, and the time since it was applied.
  std::uint64_t sequence = 0;
  Duration report_age{};
  //! Whether the server counts as cold.
  bool is_cold = false;
  //! Time since the last sign that its process may have been replaced, if that
  //! is why it counts as cold.
  std::optional<Duration> doubt_age;
  //! Requests that this host has sent to it in the last second.
  std::uint32_t sent = 0;
};

//! This host's load on the servers of a target.
struct OwnLoad {
  //! Usable servers.
  std::uint32_t servers = 0;
  //! Their slots as announced, without slow start.
  std::uint32_t slots = 0;
  //! Requests of this host in flight.
  std::uint32_t running = 0;
  //! Prompt tokens sent whose prefill has not finished.
  TokenCount pending_prefill = 0;
};

//! A chosen server and the expected duration of the request on it.
struct ServerChoice {
  BackendServerName name;
  std::string address;
  std::uint16_t port = 0;
  //! Expected time to completion, waiting included.
  Duration expected{};
  //! Requests of this host in flight on it, without the new one.
  std::uint32_t load = 0;
  //! Expected wait for a free slot.
  Duration slot_wait{};
  //! Expected time until the server starts this prompt's prefill, the wait for
  //! a slot included. With shared loads, corrected by how late first outputs
  //! have lately been.
  Duration wait{};
  //! `wait` and `prefill` before that correction; see NoteFirstDelay.
  Duration plain_first{};
  //! Prompt tokens that the server is expected to prefill for the request.
  TokenCount prefill_tokens = 0;
  //! Expected time for that prefill.
  Duration prefill{};
  //! Expected time from the first output to the end: the target's average, or
  //! that of the max output if it is shorter. Callers state a maximum that few
  //! outputs reach. Zero before any request of the target has ended.
  Duration run{};
  //! See ServerReport.
  std::string software;
  //! Digest of `software`.
  std::uint64_t software_digest = 0;
  //! Start time of the server's process; see ServerReport.
  std::chrono::milliseconds started{0};
  //! Whether the server counted as cold, and whether requests to cold servers
  //! of the target are limited.
  bool is_cold = false;
  bool limits_cold = false;
};

//! What a host knows from its region's load collector, for metrics.
struct SharedLoadState {
  //! Whether the last summary is recent enough to be used.
  bool is_fresh = false;
  //! Servers whose streams pause for much longer than the median.
  std::uint32_t slow_servers = 0;
};

//! Where a server accepts connections.
struct ServerEndpoint {
  BackendServerName name;
  std::string address;
  std::uint16_t port = 0;
};

//! One host's view of a region's backend servers: their leases, their failures,
//! and their reported load, which lags and is corrected by the requests that
//! this host has sent since the report. Not thread-safe.
class ServerTable {
 public:
  //! `start` is when this host started; see ServerTableLimits::start_doubt.
  explicit ServerTable(ServerTableLimits limits, TimePoint start = TimePoint());

  //! Replaces the limits; leases and ejections already set keep their end.
  void SetLimits(ServerTableLimits next) { this->limits = next; }
  ~ServerTable();
  ServerTable(ServerTable&&) noexcept;

  //! Applies an announcement or renewal and returns what it changed. Drops a
  //! report that is older than the known state, including one whose address a
  //! newer server has taken over. A report with `leaving` and without an
  //! address deregisters the server of that name; its sender need not know more
  //! than the name.
  ReportChanges Announce(const ServerReport& report, TimePoint now);
  //! Removes servers whose lease has expired, except those that are kept as a
  //! last resort (see ServerTableLimits::lapsed), and returns their names.
  std::vector<BackendServerName> Expire(TimePoint now);
  //! Chooses a server for a request by expected cost (see ChoosePlacement);
  //! nullopt if none is usable.
  std::optional<ServerChoice> Pick(const ServerQuery& query,
                                   TimePoint now,
                                   RandomSource& random) const;
  //! Records the server time that the request of a query needs on its server.
  void NoteWork(const ServerQuery& query,
                const ServerChoice& choice,
                TimePoint now);
  //! Returns what this host believes of a server; nullopt if it is unknown.
  std::optional<ServerBelief> Belief(const BackendServerName& name,
                                     TimePoint now) const;
  //! Records that a request was sent to a server, which has to prefill
  //! `prompt_tokens` for it.
  void NoteSent(const BackendServerName& name,
                TokenCount prompt_tokens,
                TimePoint now);
  //! Records how long a server took until the first output of a request that
  //! was expected after `choice.plain_first`.
  void NoteFirstDelay(const std::string& target,
                      const ServerChoice& choice,
                      Duration actual,
                      TimePoint now);
  //! Records the first output of a request: its prefill has finished.
  void NoteFirstOutput(const BackendServerName& name, TokenCount prompt_tokens);
  //! Records that a request sent at `sent` has ended, and ejects the server if
  //! the signal warrants it: an unreachable server at once; one that broke a
  //! connection if it breaks another before its next complete response, or if
  //! it is being probed after an ejection; a silent one if it has sent nothing
  //! at all since `sent`. Failures of requests that were sent before the
  //! current ejection ended do not extend it.
  void NoteFinished(const BackendServerName& name,
                    HealthSignal signal,
                    TimePoint sent,
                    TimePoint now);
  //! Records that bytes were received from a server, on a connection opened at
  //! `opened`.
  void NoteAlive(const BackendServerName& name,
                 TimePoint opened,
                 TimePoint now);
  //! Records that the server of a choice closed a connection opened at `opened`
  //! that should have stayed open: its process may have been replaced.
  void NoteLostConnection(const ServerChoice& server,
                          TimePoint opened,
                          TimePoint now);
  //! Records that the server of a choice refused a connection. While other
  //! requests of this host run there, it may only have too many connections.
  void NoteRefusedConnection(const ServerChoice& server, TimePoint now);
  //! Applies what another host of the region has seen of a server's process.
  //! Returns whether it is news.
  bool NoteDoubt(const ServerDoubt& doubt, TimePoint now);
  //! Returns the lost connections since the last call of which the other hosts
  //! of the region have not been told. A server that is only silent may be so
  //! to this host alone, which tells nobody.
  std::vector<ServerDoubt> TakeDoubts(TimePoint now);
  //! Returns the signs that this host has seen of servers that still count as
  //! cold because of them, whether it has told the others or not.
  std::vector<ServerDoubt> OwnDoubts(TimePoint now) const;
  //! Sets the data centres that are closed for new requests. The servers of one
  //! that is opened again may have become cold, whatever their reports said.
  void SetClosed(const std::set<DataCentreName>& data_centres, TimePoint now);
  //! Records a prefix that is probably in the server's KV cache; a hint only,
  //! since the server may have evicted it.
  void NotePrefix(const BackendServerName& name, std::uint64_t prefix);
  //! Records how long a request of a target ran after its first output; the
  //! average estimates the wait for a slot.
  void NoteRun(const std::string& target, Duration run);
  //! Sets how many requests other hosts have in flight for a target.
  void SetPeerLoad(const std::string& target, std::uint32_t running);
  //! Applies what an answer to this host says about the server that was chosen
  //! for its request, and whether the server accepted it. A server that says
  //! that it is shutting down gets no new requests, whatever its reports say,
  //! until another process has its name. One that asks for a pause gets none
  //! until the pause ends, then one at a time until one is accepted; the hosts
  //! that it sent away return at random moments. Rejections of a server that
  //! falls over when it has to reject too many are followed by pauses, too.
  StatementChanges NoteStatement(const ServerChoice& server,
                                 const ServerStatement& statement,
                                 TimePoint now,
                                 RandomSource& random);
  //! Applies what an answer to this or another host of the region says about
  //! its server's limit, unless a newer answer is known. Returns whether the
  //! server names a limit for the first time or names none any more.
  bool NoteLimit(const ServerLimit& limit, TimePoint now);
  //! Returns the recent limits, for the other hosts of the region.
  std::vector<ServerLimit> Limits(TimePoint now) const;
  //! Sets the hosts of the region that share the servers' limits; `self` may
  //! be missing from `hosts` and has no share then.
  void SetSharers(const HostName& self, std::vector<HostName> hosts);
  //! Returns the time until what a target's servers say of themselves permits
  //! this host another request; nullopt if nothing of that is in the way or
  //! this host has no share of a limit.
  std::optional<Duration> NextAllowance(const std::string& target,
                                        TimePoint now) const;
  //! Takes back a NoteSent: the request was not sent after all.
  void ReturnAllowance(const BackendServerName& name);
  //! Records pauses of a server's streams; see SharedLoad.
  void NotePauses(const BackendServerName& name,
                  std::uint32_t events,
                  Duration sum);
  //! Makes this host's next report for the region's load collector.
  LoadReport MakeLoadReport(TimePoint now);
  //! Applies the load collector's reply.
  void ApplyLoads(const LoadSummary& summary, TimePoint now);
  SharedLoadState LoadState(TimePoint now) const;
  //! Returns this host's load on the servers of a target.
  OwnLoad LoadOf(const std::string& target, TimePoint now) const;
  //! Returns the slots of all usable servers of a target, slow start applied;
  //! a server that is warming up counts as one slot.
  std::uint32_t Slots(const std::string& target, TimePoint now) const;
  //! Returns the digest of the only software version that a target's servers
  //! have had in the last `software_span`; nullopt if they had several, or if
  //! reports have not come for all of that time: those that did not arrive, for
  //! example before this host started, may have named another version.
  std::optional<std::uint64_t> SoleSoftware(const std::string& target,
                                            TimePoint now) const;
  //! Returns whether a request may still be sent to the server that was chosen
  //! for it: it has not said since that it wants none.
  bool MaySendTo(const ServerChoice& server, TimePoint now) const;
  //! Returns the servers with a lease that have not announced their shutdown,
  //! ejected ones too, in order of their names.
  std::vector<ServerEndpoint> Endpoints(TimePoint now) const;
  //! Ends all ejections, without slow start, and forgets all failures: the
  //! servers were not their cause.
  void ForgiveFailures(TimePoint now);
  //! Returns whether a server has announced its shutdown, in a report or in an
  //! answer.
  bool IsLeaving(const BackendServerName& name) const;
  //! Returns the number of known servers.
  std::size_t Count() const { return this->servers.size(); }
  //! Returns the number of targets whose servers' versions are remembered.
  std::size_t RememberedTargets() const { return this->software_seen.size(); }

 private:
  struct Server;
  //! Seconds that an idle server needs for a first output, however short the
  //! prompt: some decode steps and the network's time.
  static constexpr double kMinFirst = 0.05;
  //! Load of a target over all its servers.
  struct TargetLoad {
    //! Requests of other hosts in flight.
    std::uint32_t peers = 0;
    //! Moving average of the run time; zero before the first request ended.
    Duration run{};
    PrefillPool pool;
    //! Moving averages of the expected and the actual time until a request's
    //! first output, in seconds.
    double expected_first = kMinFirst;
    double actual_first = kMinFirst;
    TimePoint delay_at;

    //! Returns how much longer first outputs take than expected; 1 if there
    //! have been none for a while.
    double DelayRatio(TimePoint now) const;
  };
  struct Candidate {
    const Server* server = nullptr;
    Duration slot_wait{};
    //! Expected time until the server starts this prompt's prefill.
    Duration wait{};
    //! `wait` and the request's own prefill and decode time.
    Duration cost{};
    //! Relative speed; 1 is the median of the target's servers.
    double speed = 1;
    //! Whether the server is kept for the other kind of prompts.
    bool is_misplaced = false;
  };
  //! The software versions of a target's servers.
  struct SoftwareWatch {
    //! Since when reports have come without a pause longer than a lease.
    TimePoint since;
    TimePoint last_report;
    //! When a report last named each version.
    std::map<std::uint64_t, TimePoint> seen;
  };
  //! Whether a server is warm, and what the region knows of that; kept beyond
  //! the server's record.
  struct WarmthRecord {
    ServerWarmth warmth;
    //! The last sign that the hosts of the region were told.
    TimePoint told;
    //! The last sign that this host has seen itself and tells.
    std::optional<TimePoint> seen;
    //! Start time of the last process that is known to have been replaced.
    std::chrono::milliseconds replaced{0};
    //! Whether it has seen signs that it has not told.
    bool is_due = false;
  };
  //! Returns the server of that name; null if unknown.
  Server* Find(const BackendServerName& name);
  //! Records a sign of the time `at`; returns whether it is news.
  bool Doubt(Server& server, TimePoint at, TimePoint now) const;
  //! A server's process that is remembered even if its record is gone.
  struct Process {
    std::chrono::milliseconds started{};
    TimePoint until;
  };
  //! Marks a server as shutting down, unless the report is from another
  //! process than the known one.
  void MarkLeaving(const ServerReport& report, TimePoint now);
  void NoteDeparted(const BackendServerName& name,
                    std::chrono::milliseconds started,
                    TimePoint now);
  //! Returns whether a report is from a process that has announced its shutdown
  //! but says that it accepts requests.
  bool IsFromDeparted(const ServerReport& report) const;
  static void ApplyPause(Server& server,
                         std::chrono::milliseconds pause,
                         TimePoint now,
                         RandomSource& random);
  //! Goes on with a pause that the server's process asked for before its record
  //! expired.
  void RestorePause(Server& server, TimePoint now);
  bool ApplyTolerance(Server& server,
                      const RateStatement& tolerance,
                      TimePoint now);
  void Eject(Server& server,
             HealthSignal signal,
             TimePoint sent,
             TimePoint now);
  //! Assigns the report's address to its server and removes the server that
  //! had it before.
  void AssignAddress(const ServerReport& report);
  void NoteSoftware(const std::vector<std::string>& targets,
                    std::uint64_t software,
                    TimePoint now);
  //! Returns whether a report is older than the known state.
  bool IsStale(const ServerReport& report) const;
  //! Returns the usable servers for a request with their costs; `lapsed` also
  //! admits servers with an expired lease.
  std::vector<Candidate> Candidates(const ServerQuery& query,
                                    bool lapsed,
                                    TimePoint now) const;
  //! Returns how many requests per second this host may send to a server that
  //! names a limit.
  double LimitShare(const BackendServerName& name,
                    std::uint64_t per_kilosecond) const;
  //! Returns whether a server that has sent requests away, or falls over if it
  //! rejects many, is expected to accept one; true for other servers.
  bool HasRoom(const Server& server,
               const std::string& target,
               TimePoint now) const;
  //! Returns how long no request may be sent to a server because of what it
  //! says of itself; nullopt if it says nothing, or the time is unknown.
  static std::optional<Duration> AllowanceWait(const Server& server,
                                               TimePoint now);
  //! Returns whether the limit on requests to a cold server permits another.
  static bool HasColdAllowance(const Server& server,
                               const ServerQuery& query,
                               TimePoint now);
  //! Returns whether a server may get a new request now or after a pause;
  //! `lapsed` disregards its lease.
  bool IsServing(const Server& server, bool lapsed, TimePoint now) const;
  //! Returns whether a server may get a new request now.
  bool IsUsable(const Server& server, bool lapsed, TimePoint now) const;
  //! Returns the server's slots, slow start applied.
  std::uint32_t RampedSlots(const Server& server, TimePoint now) const;
  //! Returns how many requests of a target a server that names a limit runs at
  //! a time, all hosts together; the maximum if it names none.
  std::uint32_t SlotsWithinLimit(const Server& server,
                                 const std::string& target) const;
  //! Returns whether a recent summary of the load collector is known.
  bool HasSharedLoads(TimePoint now) const;
  //! Returns the requests of all hosts on a server. Precondition:
  //! HasSharedLoads.
  double SharedLoadOn(const Server& server) const;
  //! As SlotWaitAt and PrefillWaitAt, from shared loads.
  Duration SharedSlotWaitAt(const Server& server,
                            const std::string& target,
                            TimePoint now) const;
  Duration SharedPrefillWaitAt(const Server& server, TimePoint now) const;
  //! See ServerChoice::run.
  Duration RunTime(const Server& server, const ServerQuery& query) const;
  //! Returns the prompt tokens that a server is expected to prefill. A group's
  //! prefix counts as cached on the server that owns the group.
  TokenCount PrefillTokens(const Server& server,
                           const ServerQuery& query,
                           bool is_owner,
                           TimePoint now) const;
  //! Returns the position of each server of a target among them, between 0 and
  //! 1: those below PrefillPool::Share are for long prompts. All hosts of the
  //! region use the same order.
  void SetPoolPositions(TimePoint now);
  double PrefillRate(const Server& server) const;
  double DecodeRate(const Server& server) const;
  //! Returns how long the next request of a target waits for a slot.
  Duration SlotWaitAt(const Server& server,
                      const std::string& target,
                      TimePoint now) const;
  //! Returns the time until a server can start the next prompt's prefill: the
  //! pending prefill, and the slowdown by concurrent decoding.
  Duration PrefillWaitAt(const Server& server, TimePoint now) const;
  //! Returns the request's own prefill and decode time, cached tokens deducted,
  //! and the penalty for another data centre.
  Duration OwnCost(const Server& server, const ServerQuery& query) const;
  void Index(Server& server);
  void Unindex(const Server& server);

  ServerTableLimits limits;
  TimePoint start;
  //! Outlives the record of a server in `servers`.
  std::unordered_map<BackendServerName, WarmthRecord> warmth;
  std::unordered_map<BackendServerName, std::unique_ptr<Server>> servers;
  std::unordered_map<std::string, std::vector<Server*>> by_target;
  //! Processes that have announced their shutdown, until they are forgotten.
  std::unordered_map<BackendServerName, Process> departed;
  //! Processes whose records expired during a pause that they asked for, until
  //! the pause ends.
  std::unordered_map<BackendServerName, Process> paused;
  std::map<std::string, SoftwareWatch> software_seen;
  std::unordered_map<std::string, TargetLoad> loads;
  SharedLoad shared;
  HostName self;
  //! Hosts that share the servers' limits, in ascending order.
  std::vector<HostName> sharers;
  std::set<DataCentreName> closed;
  //! When each data centre was opened again last.
  std::map<DataCentreName, TimePoint> reopened;
  //! The server that announced each address and port last.
  std::map<std::pair<std::string, std::uint16_t>, BackendServerName> by_address;
};

}  // namespace tamarackwing::policy
