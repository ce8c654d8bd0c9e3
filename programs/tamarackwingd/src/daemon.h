#pragma once

#include <memory>
#include <string_view>

#include "settings.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/operators/operator_service.h"

namespace tamarackwing::daemon {

class Adapter;

//! The reason why a host could not start.
enum class StartError {
  kAdapterListener,
  kBackendServersListener,
  kCallersListener,
  kDiskFailed,
  kForwardListener,
  kJournalDamaged,
  kMetricsListener,
  kOperatorsListener,
  kPeersListener,
};

//! Returns the error's name, such as `journal_damaged`. Thread safety:
//! reentrant.
std::string_view StartErrorName(StartError error);

//! Whether a host can continue to run.
enum class DaemonState { kServing, kDiskFailed };

//! One host: its listeners, its traffic threads and its control thread.
//! Thread safety: one thread at a time.
class Daemon {
 public:
  //! Preconditions: `bootstraps_log` is true at the first start of a cluster
  //! only; at any other start, a voter without a log has lost its disk and must
  //! not bootstrap a new log. `adapter` is null or outlives the daemon; it
  //! makes the listeners for the adapter endpoints of the settings.
  Daemon(Settings settings, bool bootstraps_log, Adapter* adapter = nullptr);
  //! Stops immediately; requests in progress are cut off.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  //! Recovers the stored state, connects to the other hosts and opens the
  //! listeners.
  Expected<void, StartError> Start();
  //! Returns the interface for operators. Thread safety: as for
  //! OperatorService.
  operators::OperatorService& Operators();
  //! If the replicated control state marks this host as draining, refuses new
  //! requests other than path calls. Returns whether the host can continue to
  //! run. To be called a few times per second.
  DaemonState Poll();
  //! Applies the settings that may change at run time: log level, drain times,
  //! limits of the server table, rate tolerance, retry limit and freshness of
  //! keys. Others, such as listeners and hosts, take effect at the next start.
  //! Precondition: Start has succeeded.
  void ApplySettings(const Settings& next);
  //! Drains the host before a stop: refuses new requests (path calls only after
  //! Settings::drain_serves), waits for those in progress and returns whether
  //! all ended within Settings::drain_limit.
  bool Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace tamarackwing::daemon
