//! A core machine has passed a configuration on to the leader, which is frozen
//! for a moment, and its process is killed and restarted. The leader's answer
//! to the process of before is taken for the answer to the first order that the
//! new process gets: a configuration is acknowledged that nobody has stored.

#include <signal.h>

#include <optional>

#include "../stand_ins/stand_ins.h"

namespace {

using namespace review;

constexpr int kConfigurationMs = 4'000;
constexpr int kRounds = 6;
constexpr int kWaitMs = 1'000;
constexpr std::size_t kCores = 5;

std::string Configuration(int version) {
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[
  {"Name":"status","Host":"orders.example","Prefix":"/status/","Kind":"safe",
   "TimeoutMs":5000,"TargetLatencyMs":600,"Priority":2,"Service":"order-desk",
   "MaxAttempts":2,"AllowAnonymous":false,"HomeRegions":[]},
  {"Name":"added","Host":"orders.example","Prefix":"/v)" +
         std::to_string(version) + R"(/","Kind":"safe","TimeoutMs":5000,
   "TargetLatencyMs":600,"Priority":2,"Service":"order-desk",
   "MaxAttempts":2,"AllowAnonymous":false,"HomeRegions":[]}],
  "Services":[{"Name":"order-desk","HealthPath":"/health",
   "ConnectionLimit":110,"Protocol":"h1","TransportSecurity":false,
   "WarmupS":0.0,"WarmupPerS":0.0}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"desk","ApiKeys":["status-key"]}]})";
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
    // The only machine of its zone takes the orders that are not part of the
    // case.
    if (!this->deployment.StartAll() || !this->OrderAt(4, 15'000) ||
        !this->deployment.AwaitReady(15'000)) {
      this->record.Write("the deployment did not start");
      return kCouldNotRun;
    }
    const int rounds = IsTroubleOff() ? 1 : kRounds;
    for (int round = 0; round < rounds; ++round) {
      Sleep(6'000);
      const auto result = this->Round();
      if (result && *result != kHeld) {
        return *result;
      }
    }
    return this->has_judged ? kHeld : kCouldNotRun;
  }

 private:
  bool OrderAt(std::size_t core, int total_ms) {
    this->version += 3;
    const auto end = Clock::now() + Milliseconds(total_ms);
    while (Clock::now() < end) {
      if (this->Send(core, this->version) == 200) {
        return true;
      }
      Sleep(100);
    }
    return false;
  }

  int Send(std::size_t core, int number) {
    const HttpMessage answer = this->deployment.Control(
        core, "PUT", "/configuration", Configuration(number), kWaitMs);
    this->record.Write("operator: version " + std::to_string(number) + " to " +
                       this->deployment.At(core).address + " -> " +
                       std::to_string(answer.status));
    return answer.status;
  }

  //! Returns a core machine of the leader's zone, so that the two are no more
  //! than one zone's loss; nothing if there is none.
  std::optional<std::size_t> NeighbourOf(std::size_t leader) const {
    for (std::size_t i = 0; i < kCores; ++i) {
      if (i != leader &&
          this->deployment.At(i).zone == this->deployment.At(leader).zone) {
        return i;
      }
    }
    return std::nullopt;
  }

  void Restart(std::size_t core) {
    this->deployment.Kill(core);
    this->record.Write("platform: " + this->deployment.At(core).address +
                       " is killed");
    Sleep(50);
    this->deployment.Start(core, false);
  }

  std::optional<int> Round() {
    const auto leader = this->deployment.Leader();
    if (!leader) {
      return std::nullopt;
    }
    auto neighbour = this->NeighbourOf(*leader);
    if (IsTroubleOff() && !neighbour) {
      neighbour = 0;
    }
    if (!neighbour) {
      // Another machine leads after this.
      this->Restart(*leader);
      return std::nullopt;
    }
    if (!this->is_fresh[*neighbour]) {
      this->Restart(*neighbour);
      this->is_fresh[*neighbour] = true;
      return std::nullopt;
    }
    this->is_fresh[*neighbour] = false;
    const int earlier = this->version + 3;
    const int later = earlier + 4;
    this->version = later;
    if (!IsTroubleOff()) {
      this->record.Write("platform: " + this->deployment.At(*leader).address +
                         ", which leads, freezes");
      this->deployment.Signal(*leader, SIGSTOP);
    }
    bool is_earlier_stored = false;
    std::thread first_operator(
        [&] { is_earlier_stored = this->Send(*neighbour, earlier) == 200; });
    Sleep(60);
    if (!IsTroubleOff()) {
      this->Restart(*neighbour);
    }
    first_operator.join();
    const auto listens = Clock::now() + Milliseconds(600);
    while (Clock::now() < listens &&
           !Connect(this->deployment.At(*neighbour).address,
                    this->deployment.ControlPort(), 100)
                ->IsOpen()) {
      Sleep(10);
    }
    int status = 0;
    std::thread second_operator(
        [&] { status = this->Send(*neighbour, later); });
    Sleep(80);
    if (!IsTroubleOff()) {
      this->deployment.Signal(*leader, SIGCONT);
      this->record.Write("platform: " + this->deployment.At(*leader).address +
                         " wakes");
    }
    second_operator.join();
    const auto acknowledged = Clock::now();
    if (!is_earlier_stored) {
      // The first operator moves on to another machine.
      this->deployment.Order("PUT", "/configuration", Configuration(earlier), 4,
                             8'000);
    }
    if (status != 200) {
      this->record.Write("not acknowledged by this machine: sent to others");
      return this->deployment.Order("PUT", "/configuration",
                                    Configuration(later), 4, 15'000)
                 ? std::optional<int>()
                 : std::optional<int>(kCouldNotRun);
    }
    this->has_judged = true;
    std::this_thread::sleep_until(acknowledged +
                                  Milliseconds(kConfigurationMs + 1'000));
    int result = kHeld;
    for (std::size_t core = 0; core < kCores; ++core) {
      const int read = VersionAt(this->deployment, core);
      this->record.Write("operator: reads version " + std::to_string(read) +
                         " at " + this->deployment.At(core).address);
      if (read != 0 && read < later) {
        result = kBroken;
      }
    }
    if (result == kBroken) {
      this->record.Write("CONFIG is broken: version " + std::to_string(later) +
                         " was acknowledged over " +
                         std::to_string(kConfigurationMs) +
                         " ms before, and an older one is read");
    }
    return result;
  }

  Record& record;
  Deployment deployment;
  int version = 1;
  bool has_judged = false;
  //! Which machines have been restarted since their last order.
  bool is_fresh[kCores] = {true, true, true, true, false};
};

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return Case(record).Run();
}
