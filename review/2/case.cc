//! Three of five core machines are killed at once and are back within a second.
//! Meanwhile a fourth has passed a configuration on to the leader, which can't
//! store it with a majority and loses its office. The entry that takes its
//! place in the log is taken for it: it is acknowledged, though nobody has
//! stored it.

#include <signal.h>

#include <atomic>
#include <optional>

#include "../stand_ins/stand_ins.h"

namespace {

using namespace review;

constexpr int kConfigurationMs = 4'000;
constexpr int kRounds = 11;
//! The operator waits a second, and 3 ms more for each route.
constexpr int kRoutes = 600;
constexpr int kWaitMs = 1'000 + 3 * kRoutes;
constexpr int kDownMs = 900;
constexpr int kLastStartMs = 100'000;
constexpr std::size_t kCores = 5;

std::string Configuration(int version) {
  std::string text = R"({"Version":)" + std::to_string(version);
  text += R"(,"Routes":[)";
  for (int i = 0; i < kRoutes; ++i) {
    const std::string number = std::to_string(i);
    text.append(i == 0 ? "" : ",").append(R"({"Name":"r)").append(number);
    text.append(R"(","Host":"orders.example","Prefix":"/r)").append(number);
    text.append(R"(/","Kind":"safe","TimeoutMs":5000,"TargetLatencyMs":600,)");
    text.append(R"("Priority":2,"Service":"order-desk","MaxAttempts":2,)");
    text.append(R"("AllowAnonymous":false,"HomeRegions":[]})");
  }
  text += R"(],"Services":[{"Name":"order-desk","HealthPath":"/health",
   "ConnectionLimit":110,"Protocol":"h1","TransportSecurity":false,
   "WarmupS":0.0,"WarmupPerS":0.0}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"desk","ApiKeys":["status-key"]}]})";
  return text;
}

//! Returns the version that a machine reads back; zero if it does not say.
int VersionAt(Deployment& deployment, std::size_t machine) {
  const HttpMessage answer =
      deployment.Control(machine, "GET", "/configuration", "", 1'000);
  const std::size_t at = answer.body.find("\"Version\":");
  return answer.status != 200 || at == std::string::npos
             ? 0
             : std::atoi(answer.body.c_str() + at + 10);
}

class Case {
 public:
  explicit Case(Record& record)
      : record(record),
        deployment({{"muscat-a", "muscat", true, ""},
                    {"muscat-a", "muscat", true, ""},
                    {"sohar-a", "sohar", true, ""},
                    {"sohar-a", "sohar", true, ""},
                    {"salalah-a", "salalah", true, ""},
                    {"muscat-a", "muscat", false, ""},
                    {"sohar-a", "sohar", false, ""},
                    {"salalah-a", "salalah", false, ""}},
                   record) {}

  int Run() {
    if (!this->deployment.StartAll() || !this->Store(15'000) ||
        !this->deployment.AwaitReady(15'000)) {
      this->record.Write("the deployment did not start");
      return kCouldNotRun;
    }
    const int rounds = IsTroubleOff() ? 2 : kRounds;
    bool has_judged = false;
    for (int round = 0; round < rounds; ++round) {
      if (this->record.Now() > kLastStartMs) {
        break;
      }
      Sleep(3'000);
      const auto result = this->Round();
      if (result && *result != kHeld) {
        return *result;
      }
      has_judged = has_judged || result;
    }
    return has_judged ? kHeld : kCouldNotRun;
  }

 private:
  bool Store(int total_ms) {
    this->version += 3;
    return this->deployment.Order("PUT", "/configuration",
                                  Configuration(this->version), 0, total_ms);
  }

  std::optional<int> Round() {
    const auto leader = this->deployment.Leader();
    if (!leader) {
      return std::nullopt;
    }
    const std::size_t asked = (*leader + 1) % kCores;
    this->version += 3;
    if (!IsTroubleOff()) {
      this->record.Write("platform: three core machines are killed, not " +
                         this->deployment.At(*leader).address +
                         ", which leads, nor " +
                         this->deployment.At(asked).address);
      for (std::size_t core = 0; core < kCores; ++core) {
        if (core != *leader && core != asked) {
          this->deployment.Signal(core, SIGKILL);
        }
      }
      for (std::size_t core = 0; core < kCores; ++core) {
        if (core != *leader && core != asked) {
          this->deployment.Kill(core);
        }
      }
    }
    const auto killed = Clock::now();
    Sleep(100);
    std::atomic<int> status{0};
    std::thread client([&] {
      const HttpMessage answer =
          this->deployment.Control(asked, "PUT", "/configuration",
                                   Configuration(this->version), kWaitMs);
      status = answer.status;
      this->record.Write("operator: version " + std::to_string(this->version) +
                         " to " + this->deployment.At(asked).address + " -> " +
                         std::to_string(answer.status));
    });
    std::this_thread::sleep_until(killed + Milliseconds(kDownMs));
    if (!IsTroubleOff()) {
      for (std::size_t core = 0; core < kCores; ++core) {
        if (core != *leader && core != asked) {
          this->deployment.Start(core, false);
        }
      }
      this->record.Write("platform: the three are back");
    }
    client.join();
    const auto acknowledged = Clock::now();
    if (status != 200) {
      // The operator sends the same order to other machines.
      const bool is_stored = this->deployment.Order(
          "PUT", "/configuration", Configuration(this->version), asked + 1,
          15'000);
      return is_stored ? std::optional<int>()
                       : std::optional<int>(kCouldNotRun);
    }
    std::this_thread::sleep_until(acknowledged +
                                  Milliseconds(kConfigurationMs + 500));
    int result = kHeld;
    for (std::size_t core = 0; core < kCores; ++core) {
      const int read = VersionAt(this->deployment, core);
      this->record.Write("operator: reads version " + std::to_string(read) +
                         " at " + this->deployment.At(core).address);
      if (read != 0 && read < this->version) {
        result = kBroken;
      }
    }
    if (result == kBroken) {
      this->record.Write(
          "CONFIG is broken: version " + std::to_string(this->version) +
          " was acknowledged over " + std::to_string(kConfigurationMs) +
          " ms before, and an older one is read");
    }
    return result;
  }

  Record& record;
  Deployment deployment;
  int version = 1;
};

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return Case(record).Run();
}
