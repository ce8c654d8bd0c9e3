#pragma once

#include <memory>
#include <string_view>

#include "settings.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/operators/operator_service.h"

namespace tamarackwing::daemon {

class Adapter;

//! Why a host could not start.
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

//! The error's name, such as `journal_damaged`. Thread safety: reentrant.
std::string_view StartErrorName(StartError error);

//! How a host's life goes on.
enum class DaemonState { kServing, kDiskFailed };

//! One host: its listeners, its traffic threads and its control thread.
//! Thread safety: one thread at a time.
class Daemon {
 public:
  //! `bootstraps_log` is set at the first start of a cluster, and on no other:
  //! a voter that finds no log without it has lost its disk. `adapter`, where
  //! it is not null, makes the listeners of the settings' adapter and outlives
  //! the daemon.
  Daemon(Settings settings, bool bootstraps_log, Adapter* adapter = nullptr);
  //! Stops at once what still runs.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  //! Recovers, joins the others and opens the listeners.
  Expected<void, StartError> Start();
  //! What operators can do here. Thread safety: as for OperatorService.
  operators::OperatorService& Operators();
  //! Does what control asks of the host, such as to drain, and says whether it
  //! can go on. To be called a few times a second.
  DaemonState Poll();
  //! Takes in what may change while the host runs: the log's level, the times
  //! of a stop, the limits of the table of servers, what may pass beyond rates,
  //! second sends, and the freshness of keys. Listeners and hosts stay.
  //! Precondition: Start has succeeded.
  void TakeSettings(const Settings& next);
  //! Refuses new requests, waits for the open ones and returns whether all
  //! ended within the drain limit.
  bool Drain();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace tamarackwing::daemon
