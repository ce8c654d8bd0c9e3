#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! What a host believes of its own links to the backend servers.
enum class LinkState {
  kUp,
  //! Several servers failed at about the same time; probes decide.
  kSuspect,
  //! No server that was probed accepted a connection.
  kDown,
};

//! Times and sizes of a LinkHealth.
struct LinkHealthLimits {
  //! Failures of different servers within this time are suspect.
  std::chrono::milliseconds window{1'500};
  //! Different servers that have to fail, unless fewer are known.
  std::size_t failures = 2;
  //! Servers that are probed at once when the links are suspect: if one accepts
  //! a connection, the links are up.
  std::size_t round = 4;
  //! While the links are down, `down_probes` servers are probed at this
  //! interval.
  std::chrono::milliseconds down_interval{250};
  std::size_t down_probes = 2;
  //! While the links are down, connections opened before count as usable for
  //! this long after a server's last byte.
  std::chrono::milliseconds kept_open{1'000};
};

//! Tells a host that has lost its links to the backend servers from servers
//! that have failed: different servers fail at about the same time, and none of
//! those that are then probed accepts a connection. Connections that are
//! already open say nothing, since they may go on while new ones fail, and the
//! reverse. Not thread-safe.
class LinkHealth {
 public:
  explicit LinkHealth(LinkHealthLimits limits);

  //! Records that a server failed: it did not accept a connection, or broke one
  //! or fell silent.
  void NoteFailure(const BackendServerName& server, TimePoint now);
  //! Records that a server accepted a connection.
  void NoteConnected();
  //! Records that bytes arrived from a server.
  void NoteAlive(TimePoint now) { this->last_alive = now; }
  //! Records that a server was announced for the first time: while the links
  //! are down it is probed at once, since it may be the first of those that
  //! replace servers that have all failed.
  void NoteNewServer(const BackendServerName& server);
  //! Returns whether probes may be due, if `known` servers are known.
  bool WantsProbes(std::size_t known, TimePoint now) const;
  //! Returns the servers to probe now; the outcome of each probe is to be
  //! reported by NoteConnected or NoteProbeFailed. `known` has the servers that
  //! may be probed.
  std::vector<BackendServerName> ServersToProbe(
      const std::vector<BackendServerName>& known,
      TimePoint now);
  //! Records that a probe failed.
  void NoteProbeFailed(const BackendServerName& server);

  LinkState State() const { return this->state; }
  //! Returns whether servers still answer on connections that were opened
  //! before the links went down.
  bool KeepsConnections(TimePoint now) const {
    return now - this->last_alive <= this->limits.kept_open;
  }
  //! Returns how many different servers have failed, probes included, since one
  //! last accepted a connection or the window of failures began.
  std::size_t FailedServers() const { return this->failed.size(); }

 private:
  //! Returns whether enough servers have failed at about the same time.
  bool IsSuspicious(std::size_t known, TimePoint now) const;
  //! Returns up to `count` servers, in turn.
  std::vector<BackendServerName> Next(
      const std::vector<BackendServerName>& known,
      std::size_t count);

  LinkHealthLimits limits;
  LinkState state = LinkState::kUp;
  //! When each server failed last.
  std::map<BackendServerName, TimePoint> failed;
  //! Probes of the current round that have not ended.
  std::set<BackendServerName> pending;
  bool round_started = false;
  TimePoint next_probe_at;
  std::size_t next = 0;
  //! New servers that have not been probed; at most as many as a round.
  std::deque<BackendServerName> announced;
  //! When a server last sent anything.
  TimePoint last_alive;
};

}  // namespace tamarackwing::policy
