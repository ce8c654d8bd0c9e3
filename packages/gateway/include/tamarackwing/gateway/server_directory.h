#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/backend_servers/server_registry.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/policy/link_health.h"
#include "tamarackwing/policy/retry_budget.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::gateway {

//! Backend servers of the host's region, shared by the traffic threads.
//! Thread safety: every method is callable from any thread.
class ServerDirectory final : public backend_servers::ServerRegistry {
 public:
  //! Called with each announcement received directly from a server.
  using OnAnnounced = std::function<void(const policy::ServerReport&)>;

  //! Precondition: `clock` outlives the directory.
  ServerDirectory(RegionName region,
                  policy::ServerTableLimits limits,
                  const Clock& clock,
                  std::uint64_t seed);

  //! Sets the callback for announcements received directly from servers.
  //! Precondition: called before traffic starts.
  void SetOnAnnounced(OnAnnounced callback);
  bool Announce(const policy::ServerReport& report) override;
  void NoteCacheEvents(const backend_servers::CacheEvents& events) override;
  //! Applies an announcement relayed by another host of the region; ignores one
  //! of a server in another region.
  void ApplyRelayed(const policy::ServerReport& report);
  //! Replaces the limits of the server table.
  void SetLimits(policy::ServerTableLimits limits);
  //! Sets the size of each target's retry budget: the initial and maximum
  //! number of unused retries. A change refills all budgets.
  void SetRetryReserve(std::uint32_t reserve);
  //! Chooses a server and counts the request as sent to it. Finish or Release
  //! must follow.
  std::optional<policy::ServerChoice> Choose(const policy::ServerQuery& query);
  //! Returns the expected time to completion of a request, waiting included, on
  //! the server that would be chosen for it, without choosing the server;
  //! nothing if no server is available.
  std::optional<Duration> ExpectedTime(const policy::ServerQuery& query);
  //! Records the end of a request sent at `sent` and what it shows about its
  //! server's health.
  void Finish(const BackendServerName& name,
              const std::string& request,
              policy::HealthSignal signal,
              TimePoint sent);
  //! As for the methods of policy::ServerTable; `source` names who heard the
  //! answer, for the log.
  void NoteLimit(const policy::ServerLimit& limit, std::string_view source);
  std::vector<policy::ServerLimit> Limits();
  //! Applies and logs what the answer to `request` says about its server. The
  //! other hosts of the region hear of a server that is shutting down as they
  //! hear of one that has deregistered.
  void NoteStatement(const policy::ServerChoice& server,
                     const policy::ServerStatement& statement,
                     const std::string& request);
  bool MaySendTo(const policy::ServerChoice& server);
  void SetSharers(const HostName& self, std::vector<HostName> hosts);
  std::optional<Duration> NextAllowance(const std::string& target);
  std::optional<std::uint64_t> SoleSoftware(const std::string& target);
  //! Returns what this host believes of its links to the servers.
  policy::LinkState Links();
  //! Returns whether this host believes that its links to all servers are
  //! down, so that it can open no connection to any.
  bool LinksAreDown() { return this->Links() == policy::LinkState::kDown; }
  //! Returns whether servers still answered on connections opened before the
  //! links went down, a moment ago.
  bool KeepsConnections();
  //! Returns the servers to which a connection is to be opened now, to find out
  //! whether the host's links are up; NoteConnected or NoteProbeFailed must
  //! follow for each.
  std::vector<policy::ServerEndpoint> ServersToProbe();
  //! Records that a server accepted a connection.
  void NoteConnected();
  void NoteProbeFailed(const BackendServerName& name);
  //! Records that bytes arrived from a server.
  void NoteAlive(const BackendServerName& name, TimePoint opened);
  void NoteLostConnection(const policy::ServerChoice& server, TimePoint opened);
  void NoteRefusedConnection(const policy::ServerChoice& server);
  //! As for the methods of policy::ServerTable; `source` names the host that
  //! saw the signs, for the log.
  void NoteDoubt(const policy::ServerDoubt& doubt, std::string_view source);
  //! As for policy::ServerTable. Empty while this host may have lost its own
  //! links to the servers.
  std::vector<policy::ServerDoubt> TakeDoubts();
  std::vector<policy::ServerDoubt> OwnDoubts();
  void SetClosed(const std::set<DataCentreName>& data_centres);
  bool IsLeaving(const BackendServerName& name);
  //! Returns the time of the directory's clock.
  TimePoint Now() const { return this->clock.Now(); }
  //! Records that a server's cache now holds a prompt prefix.
  void NotePrefix(const BackendServerName& name, std::uint64_t prefix);
  //! Records that a request got its first output, so that the prefill of its
  //! prompt has finished.
  void NoteFirstOutput(const BackendServerName& name, TokenCount prompt_tokens);
  //! Records that a server's cache now holds the prefix blocks of a prompt.
  void NotePrefixBlocks(const BackendServerName& name,
                        const std::vector<policy::PrefixBlock>& prefix_blocks);
  //! Records how long a request of a target ran after its first output.
  void NoteRun(const std::string& target, Duration run);
  //! Sets how many requests of other hosts are in progress at the servers of a
  //! target.
  void SetPeerLoad(const std::string& target, std::uint32_t running);
  //! Reverts the choice of a server to which nothing was sent.
  void Release(const BackendServerName& name, TokenCount prompt_tokens);
  //! Records a first try, which adds to the retry budget of a target.
  void NoteRequest(const std::string& target);
  //! Consumes one retry; returns false if the target's budget is exhausted.
  bool TryRetry(const std::string& target);
  //! As for the methods of policy::ServerTable.
  void NotePauses(const BackendServerName& name,
                  std::uint32_t events,
                  Duration sum);
  void NoteFirstDelay(const std::string& target,
                      const policy::ServerChoice& choice,
                      Duration actual);
  policy::LoadReport MakeLoadReport();
  void ApplyLoads(const policy::LoadSummary& summary);
  policy::SharedLoadState LoadState();
  //! Returns the load that this host has put on the servers of a target.
  policy::OwnLoad LoadOf(const std::string& target);
  //! Removes servers whose lease has expired, unless they are kept as a last
  //! resort (policy::ServerTableLimits::lapsed).
  void Expire();
  //! Returns the usable slots of a target.
  std::uint32_t Slots(const std::string& target);

 private:
  void Apply(const policy::ServerReport& report);
  policy::RetryBudget& RetriesOf(const std::string& target);
  //! Logs a change of the links' state since `before`, and forgives the servers
  //! if the links are up again. Precondition: `mutex` is locked.
  void HandleLinks(policy::LinkState before);

  RegionName region;
  const Clock& clock;
  std::mutex mutex;
  policy::ServerTable table;
  policy::LinkHealth links{policy::LinkHealthLimits()};
  //! When the links went down last.
  TimePoint links_down_since;
  std::uint32_t retry_reserve;
  std::map<std::string, policy::RetryBudget> retries;
  SeededRandom random;
  OnAnnounced on_announced;
};

}  // namespace tamarackwing::gateway
