#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>

#include "daemon.h"
#include "settings_file.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/platform.h"

DEFINE_string(
    settings,
    "",
    "path of the host's settings (TOML); default: TAMARACKWING_CONFIG");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(found_log,
            false,
            "first start of a cluster: a voter without a log bootstraps it");

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotStart = 3;
constexpr int kRequestsCut = 4;
constexpr int kDiskFailed = 5;
constexpr long kPollNanoseconds = 100'000'000;

//! Returns the path of the settings: the one given on the command line, or else
//! the one in the environment.
std::string SettingsPath() {
  const char* const path = std::getenv("TAMARACKWING_CONFIG");
  return FLAGS_settings.empty() && path != nullptr ? path : FLAGS_settings;
}

void PrintFaults(const std::string& file,
                 const tamarackwing::config::Faults& faults) {
  for (const tamarackwing::config::Fault& fault : faults) {
    std::cerr << file << ":" << fault.line << ": " << fault.path << ": "
              << tamarackwing::config::FaultName(fault.code);
    if (!fault.found.empty()) {
      std::cerr << " (found " << fault.found << ")";
    }
    std::cerr << "\n";
  }
}

//! Applies the settings that may change at run time. Invalid settings are
//! rejected as a whole.
void Reload(const std::string& text, tamarackwing::daemon::Daemon& daemon) {
  const auto settings = tamarackwing::daemon::ParseSettings(text);
  if (!settings) {
    tamarackwing::LogEvent(
        tamarackwing::Event::kSettingsRejected, tamarackwing::LogLevel::kError,
        {{"faults", std::to_string(settings.error().size())}});
    return;
  }
  daemon.ApplySettings(*settings);
  tamarackwing::LogEvent(tamarackwing::Event::kSettingsReloaded,
                         tamarackwing::LogLevel::kInfo, {});
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

//! Runs the host until a stop signal or a failure of the disk; returns the exit
//! status of the process.
int Serve(const tamarackwing::daemon::Settings& settings,
          tamarackwing::daemon::SettingsFile& file,
          const sigset_t& signals) {
  tamarackwing::platform::PlatformAdapter adapter;
  tamarackwing::daemon::Daemon daemon(
      settings, FLAGS_found_log || settings.found_log, &adapter);
  const auto started = daemon.Start();
  if (!started) {
    const auto name = tamarackwing::daemon::StartErrorName(started.error());
    tamarackwing::LogEvent(tamarackwing::Event::kStartFailed,
                           tamarackwing::LogLevel::kError,
                           {{"error", std::string(name)}});
    std::cerr << "cannot start: " << name << "\n";
    return kCannotStart;
  }
  while (true) {
    const timespec poll{0, kPollNanoseconds};
    const int signal = sigtimedwait(&signals, nullptr, &poll);
    if (signal == SIGHUP) {
      Reload(file.Read(), daemon);
    } else if (signal > 0) {
      return daemon.Drain() ? 0 : kRequestsCut;
    } else if (const auto changed = file.ReadIfChanged()) {
      Reload(*changed, daemon);
    }
    if (daemon.Poll() == tamarackwing::daemon::DaemonState::kDiskFailed) {
      std::cerr << "stopped: disk_failed\n";
      return kDiskFailed;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("the gateway process of an entry host");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const tamarackwing::SteadyClock clock;
  tamarackwing::daemon::SettingsFile file(SettingsPath(), clock);
  const auto settings = tamarackwing::daemon::ParseSettings(file.Read());
  if (!settings) {
    tamarackwing::OpenLog(tamarackwing::LogLevel::kInfo);
    tamarackwing::LogEvent(
        tamarackwing::Event::kSettingsRejected, tamarackwing::LogLevel::kError,
        {{"faults", std::to_string(settings.error().size())}});
    PrintFaults(file.Path(), settings.error());
    return kBadSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  tamarackwing::OpenLog(settings->log_level);
  const int result = Serve(*settings, file, signals);
  tamarackwing::CloseLog();
  // Skips the exit handlers: those of the logging library wait for its threads,
  // on some machines forever. Everything is written and closed at this point.
  std::quick_exit(result);
}
