#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon.h"

DEFINE_string(settings, "", "path of the host's settings (TOML)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(found_log,
            false,
            "first start of a cluster: a voter without a log founds it");

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotStart = 3;
constexpr int kRequestsCut = 4;
constexpr int kDiskFailed = 5;
constexpr long kPollNanoseconds = 100'000'000;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
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

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("the gateway process of an entry host");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings =
      tamarackwing::daemon::ParseSettings(ReadFile(FLAGS_settings));
  if (!settings) {
    tamarackwing::OpenLog(tamarackwing::LogLevel::kInfo);
    tamarackwing::LogEvent(
        tamarackwing::Event::kSettingsRejected, tamarackwing::LogLevel::kError,
        {{"faults", std::to_string(settings.error().size())}});
    PrintFaults(FLAGS_settings, settings.error());
    return kBadSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  tamarackwing::OpenLog(settings->log_level);
  tamarackwing::daemon::Daemon daemon(*settings, FLAGS_found_log);
  const auto started = daemon.Start();
  if (!started) {
    std::cerr << "cannot start: "
              << tamarackwing::daemon::StartErrorName(started.error()) << "\n";
    return kCannotStart;
  }
  while (true) {
    const timespec poll{0, kPollNanoseconds};
    if (sigtimedwait(&signals, nullptr, &poll) > 0) {
      return daemon.Drain() ? 0 : kRequestsCut;
    }
    if (daemon.Poll() == tamarackwing::daemon::DaemonState::kDiskFailed) {
      std::cerr << "cannot go on: disk_failed\n";
      return kDiskFailed;
    }
  }
}
