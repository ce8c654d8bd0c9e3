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
#include <unordered_map>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing {
class RandomSource;
}

namespace tamarackwing::policy {

//! Limits of a server table.
struct ServerTableLimits {
  //! A server that has not renewed for so long gets no work.
  std::chrono::milliseconds lease{3'000};
  //! How long a failed server is first set aside; doubled up to the longest.
  std::chrono::milliseconds base_ejection{500};
  std::chrono::milliseconds max_ejection{30'000};
  //! A server that holds requests and from which nothing has come for so long
  //! gets no more; zero never counts it as silent.
  std::chrono::milliseconds silence{0};
  //! How long a server takes to come back to all its slots.
  std::chrono::milliseconds ramp{5'000};
  //! The cost of reaching a server of another data centre.
  std::chrono::milliseconds other_data_centre{2};
  //! How long a server without a lease is still taken where no other is left:
  //! its reports may be cut off while it works.
  std::chrono::milliseconds lapsed{0};
  //! Prompt tokens a second of a server that does not say.
  double prefill_rate = 2'000;
  //! Output tokens a second for one request of a server that does not say.
  double decode_rate = 50;
  //! Prompt prefixes remembered for each server.
  std::size_t prefixes = 1024;
};

//! One part of a prompt, in the order of the prompt.
struct PrefixBlock {
  //! Digest of this part and all before it.
  std::uint64_t digest = 0;
  TokenCount tokens = 0;
};

//! What a request needs of a server.
struct ServerQuery {
  //! The model version or service.
  std::string target;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  //! Digest of the prompt's prefix; zero for none.
  std::uint64_t prefix = 0;
  //! The prompt in parts; a part is kept only where all before it are.
  std::vector<PrefixBlock> prefix_blocks;
  //! Requests with the same value gather on the same servers; zero spreads.
  std::uint64_t affinity = 0;
  //! Prompt tokens that requests with the same affinity have in common.
  TokenCount affinity_tokens = 0;
  //! Requests a second that this host may send to one cold server.
  std::function<std::uint32_t(const BackendServerName&)> cold_allowance;
  //! Data centres that get no new work; null for none.
  const std::set<DataCentreName>* closed = nullptr;
  //! The asker's own data centre.
  DataCentreName data_centre;
  //! Servers that this request has tried.
  std::set<BackendServerName> tried;
};

//! What a try tells of its server.
enum class HealthSignal {
  //! It answered, or says that it is full: it works.
  kAnswered,
  //! It did not take a connection.
  kUnreachable,
  //! It ended a connection without a whole answer.
  kBroken,
  //! Nothing came within the time that the try had.
  kSilent,
  //! The try ended for a reason of its own.
  kNothing,
};

//! What one host has at the servers of a target.
struct OwnLoad {
  //! Servers that take work.
  std::uint32_t servers = 0;
  std::uint32_t running = 0;
  //! Prompt tokens that were sent and have not been read.
  TokenCount pending_prefill = 0;
};

//! A chosen server with the time it should take.
struct ServerChoice {
  BackendServerName name;
  std::string address;
  std::uint16_t port = 0;
  Duration expected{};
  //! Requests of this host that it runs.
  std::uint32_t load = 0;
  //! How long the request waits there for a slot.
  Duration slot_wait{};
};

//! The backend servers of a region as one host knows them: their leases, their
//! lagged reports corrected by what this host has sent since, their failures.
//! Not thread-safe.
class ServerTable {
 public:
  explicit ServerTable(ServerTableLimits limits);

  //! Goes by other limits from now on.
  void SetLimits(ServerTableLimits next) { this->limits = next; }
  ~ServerTable();
  ServerTable(ServerTable&&) noexcept;

  //! Takes an announcement or renewal; true where the server is new. One that
  //! is older than what is known is dropped, also where another server has
  //! since taken its address. A report without an address says that a server
  //! leaves of which the sender knows no more than the name.
  bool Announce(const ServerReport& report, TimePoint now);
  //! Drops servers whose lease has run out and names them.
  std::vector<BackendServerName> Expire(TimePoint now);
  //! Chooses by least expected cost, with two choices among the near-best.
  std::optional<ServerChoice> Pick(const ServerQuery& query,
                                   TimePoint now,
                                   RandomSource& random) const;
  //! Notes that a request left for a server; `prompt_tokens` are to be read
  //! there before its first output.
  void NoteSent(const BackendServerName& name,
                TokenCount prompt_tokens,
                TimePoint now);
  //! Notes that a request had its first output.
  void NoteFirstOutput(const BackendServerName& name, TokenCount prompt_tokens);
  //! Notes that a request that was sent at `sent` ended, and what that tells. A
  //! server that takes no connection is set aside at once; one that breaks off
  //! only when it does so again before it answers; a silent one only where
  //! nothing at all has come from it since the request was sent. What was sent
  //! before a server was set aside tells nothing new.
  void NoteFinished(const BackendServerName& name,
                    HealthSignal signal,
                    TimePoint sent,
                    TimePoint now);
  //! Notes that bytes came from a server.
  void NoteAlive(const BackendServerName& name, TimePoint now);
  //! Notes what a server says its cache holds; a hint that may be wrong.
  void NotePrefix(const BackendServerName& name, std::uint64_t prefix);
  //! Notes how long a request of a target ran from its first output on.
  void NoteRun(const std::string& target, Duration run);
  //! Sets how many requests other hosts have at the servers of a target.
  void SetPeerLoad(const std::string& target, std::uint32_t running);
  //! What this host has at the servers of a target.
  OwnLoad LoadOf(const std::string& target, TimePoint now) const;
  //! Slots of all usable servers for a target.
  std::uint32_t Slots(const std::string& target, TimePoint now) const;
  //! How many servers hold a lease.
  std::size_t Count() const { return this->servers.size(); }

 private:
  struct Server;
  //! What is known of all requests of a target.
  struct TargetLoad {
    std::uint32_t peers = 0;
    //! How long requests run; zero where none has ended yet.
    Duration run{};
  };
  struct Candidate {
    const Server* server = nullptr;
    Duration slot_wait{};
    Duration wait{};
    Duration cost{};
  };
  //! The server of that name; null where it is not known.
  Server* Find(const BackendServerName& name);
  void Leave(const ServerReport& report);
  void Eject(Server& server, TimePoint sent, TimePoint now);
  //! Ends the server that had the report's address before.
  void TakeAddress(const ServerReport& report);
  //! Whether a report is older than what is known.
  bool IsOvertaken(const ServerReport& report) const;
  std::vector<Candidate> Candidates(const ServerQuery& query,
                                    bool lapsed,
                                    TimePoint now) const;
  static bool BearsOneMore(const Server& server,
                           const ServerQuery& query,
                           TimePoint now);
  bool IsUsable(const Server& server, bool lapsed, TimePoint now) const;
  std::uint32_t RampedSlots(const Server& server, TimePoint now) const;
  double PrefillRate(const Server& server) const;
  double DecodeRate(const Server& server) const;
  //! How long the next request of a target waits for a slot.
  Duration SlotWaitAt(const Server& server,
                      const std::string& target,
                      TimePoint now) const;
  //! What a server has to read and decode before it reads the next prompt.
  Duration PrefillWaitAt(const Server& server, TimePoint now) const;
  //! What a request takes by itself.
  Duration OwnCost(const Server& server, const ServerQuery& query) const;
  void Index(Server& server);
  void Unindex(const Server& server);

  ServerTableLimits limits;
  std::unordered_map<BackendServerName, std::unique_ptr<Server>> servers;
  std::unordered_map<std::string, std::vector<Server*>> by_target;
  std::unordered_map<std::string, TargetLoad> loads;
  //! The newest server at each address and port.
  std::map<std::pair<std::string, std::uint16_t>, BackendServerName> by_address;
};

}  // namespace tamarackwing::policy
