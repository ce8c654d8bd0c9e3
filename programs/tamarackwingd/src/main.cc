#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "daemon.h"
#include "tamarackwing/state/set_parser.h"

DEFINE_string(settings, "", "path of the host's settings (TOML)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(set, "", "path of a configuration set for a host alone");

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotStart = 3;
constexpr int kRequestsCut = 4;

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
    PrintFaults(FLAGS_settings, settings.error());
    return kBadSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  tamarackwing::OpenLog(settings->log_level);
  tamarackwing::daemon::Daemon daemon(*settings);
  if (!daemon.Start()) {
    std::cerr << "a listener's address is in use or not of this machine\n";
    return kCannotStart;
  }
  if (!FLAGS_set.empty()) {
    const auto set = tamarackwing::state::ParseSet(ReadFile(FLAGS_set));
    if (!set) {
      PrintFaults(FLAGS_set, set.error());
      return kBadSettings;
    }
    daemon.Apply(*set);
  }
  int received = 0;
  sigwait(&signals, &received);
  return daemon.Drain() ? 0 : kRequestsCut;
}
