#pragma once

#include <memory>
#include <string>

#include "settings.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::daemon {

//! Why a host could not start.
enum class StartError { kCallersListener, kBackendServersListener };

//! One host: its listeners, its traffic threads and its control thread.
//! Thread safety: one thread at a time.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  //! Stops at once what still runs.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  //! Opens the listeners.
  Expected<void, StartError> Start();
  //! Puts a set in force on this host alone.
  void Apply(state::ConfigurationSet set);
  //! Refuses new requests, waits for the open ones and returns whether all
  //! ended within the drain limit.
  bool Drain();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace tamarackwing::daemon
