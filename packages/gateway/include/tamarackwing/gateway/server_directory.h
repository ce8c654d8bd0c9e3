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
#include "tamarackwing/policy/retry_budget.h"
#include "tamarackwing/policy/server_table.h"

namespace tamarackwing::gateway {

//! The servers of the host's region, shared by the traffic threads.
//! Thread safety: every method is callable from any thread.
class ServerDirectory final : public backend_servers::ServerRegistry {
 public:
  //! Called with each announcement that came straight from a server.
  using OnAnnounced = std::function<void(const policy::ServerReport&)>;

  //! Precondition: `clock` outlives the directory.
  ServerDirectory(RegionName region,
                  policy::ServerTableLimits limits,
                  const Clock& clock,
                  std::uint64_t seed);

  //! Sets who else is told of announcements. Precondition: called before
  //! traffic starts.
  void SetOnAnnounced(OnAnnounced callback);
  bool Announce(const policy::ServerReport& report) override;
  void NoteCacheEvents(const backend_servers::CacheEvents& events) override;
  //! Takes an announcement that another host of the region passed on.
  void ApplyRelayed(const policy::ServerReport& report);
  //! Goes by other limits from now on.
  void SetLimits(policy::ServerTableLimits limits);
  //! Sets what each target may be retried beyond a part of its requests.
  void SetRetryReserve(std::uint32_t reserve);
  //! Chooses a server; counts it as sent.
  std::optional<policy::ServerChoice> Take(const policy::ServerQuery& query);
  //! The expected time of the best server, without taking it.
  std::optional<Duration> Expect(const policy::ServerQuery& query);
  //! Notes that a request that was sent at `sent` ended, and what it tells of
  //! its server.
  void Finish(const BackendServerName& name,
              policy::HealthSignal signal,
              TimePoint sent);
  //! Notes that bytes came from a server.
  void NoteAlive(const BackendServerName& name);
  //! The time by the directory's clock.
  TimePoint Now() const { return this->clock.Now(); }
  //! Notes that a server now holds a prefix.
  void NotePrefix(const BackendServerName& name, std::uint64_t prefix);
  //! Notes that a request had its first output.
  void NoteFirstOutput(const BackendServerName& name, TokenCount prompt_tokens);
  //! Notes the parts of a prompt that a server has read.
  void NotePrefixBlocks(const BackendServerName& name,
                        const std::vector<policy::PrefixBlock>& prefix_blocks);
  //! Notes how long a request of a target ran from its first output on.
  void NoteRun(const std::string& target, Duration run);
  //! Sets how many requests other hosts have at the servers of a target.
  void SetPeerLoad(const std::string& target, std::uint32_t running);
  //! Takes back the choice of a server to which nothing was sent.
  void Release(const BackendServerName& name, TokenCount prompt_tokens);
  //! Notes a first try for the retry budget of a target.
  void NoteRequest(const std::string& target);
  //! Takes one retry; false where the budget of the target is spent.
  bool TryRetry(const std::string& target);
  //! What this host has at the servers of a target.
  policy::OwnLoad LoadOf(const std::string& target);
  //! Drops expired leases.
  void Expire();
  //! Usable slots of a target.
  std::uint32_t Slots(const std::string& target);

 private:
  void Take(const policy::ServerReport& report);
  policy::RetryBudget& RetriesOf(const std::string& target);

  RegionName region;
  const Clock& clock;
  std::mutex mutex;
  policy::ServerTable table;
  std::uint32_t retry_reserve;
  std::map<std::string, policy::RetryBudget> retries;
  SeededRandom random;
  OnAnnounced on_announced;
};

}  // namespace tamarackwing::gateway
