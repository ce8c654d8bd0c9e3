//! A core machine is frozen while the operator takes an evacuation back. The
//! operator sends the same order to another machine, which acknowledges it, and
//! evacuates the zone again later. When the frozen machine wakes, it carries
//! out the order of before.

#include <signal.h>

#include <mutex>
#include <optional>

#include "../stand_ins/stand_ins.h"

namespace {

using namespace review;

constexpr int kFreezeMs = 4'000;
constexpr int kContactMs = 6'000;
constexpr int kEvacuationMs = 5'000;
constexpr int kLookMs = 8'000;
constexpr int kRequestMs = 4'000;

const char* const kConfiguration = R"({"Version":3,"Routes":[
  {"Name":"status","Host":"orders.example","Prefix":"/status/","Kind":"safe",
   "TimeoutMs":5000,"TargetLatencyMs":600,"Priority":2,"Service":"order-desk",
   "MaxAttempts":2,"AllowAnonymous":false,"HomeRegions":[]}],
  "Services":[{"Name":"order-desk","HealthPath":"/health","ConnectionLimit":110,
   "Protocol":"h1","TransportSecurity":false,"WarmupS":0.0,"WarmupPerS":0.0}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"desk","ApiKeys":["status-key"]}]})";

class Desk {
 public:
  Desk(Record& record, std::string id) : record(record), id(std::move(id)) {}

  void Serve(Socket& socket) {
    while (true) {
      const auto request = socket.Read(Clock::now() + std::chrono::seconds(60));
      if (!request) {
        return;
      }
      const std::string attempt = request->Field("Attempt-Id");
      {
        const std::lock_guard lock(this->mutex);
        this->runs += 1;
      }
      this->record.Write(this->id + ": runs " + attempt);
      socket.Send(MakeAnswer("200 OK",
                             {{"Attempt-Id", attempt},
                              {"Response-Seal", this->id + "." + attempt}},
                             "ok"));
    }
  }

  int Runs() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }

 private:
  Record& record;
  std::string id;
  std::mutex mutex;
  int runs = 0;
};

//! Sends one request to each front machine; returns how many were served.
int SendRequests(Deployment& deployment, Record& record, int& number) {
  int served = 0;
  for (std::size_t i = 0; i < deployment.Size(); ++i) {
    if (deployment.At(i).is_core) {
      continue;
    }
    const std::string attempt = "read-" + std::to_string(number++);
    const HttpMessage answer = Call(
        deployment.At(i).address, deployment.FrontPort(), "GET", "/status/1",
        {{"Host", "orders.example"},
         {"Attempt-Id", attempt},
         {"Deadline-Milliseconds", std::to_string(kRequestMs)},
         {"Authorization", "Bearer status-key"}},
        "", kRequestMs + 1'000);
    record.Write("client: " + attempt + " by way of " + deployment.At(i).zone +
                 " is answered " + std::to_string(answer.status));
    served += answer.status == 200 ? 1 : 0;
  }
  return served;
}

int Run(Record& record) {
  Deployment deployment({{"muscat-a", "muscat", true, ""},
                         {"muscat-a", "muscat", true, ""},
                         {"sohar-a", "sohar", true, ""},
                         {"sohar-a", "sohar", true, ""},
                         {"salalah-a", "salalah", true, ""},
                         {"muscat-a", "muscat", false, ""},
                         {"sohar-a", "sohar", false, ""}},
                        record);
  if (!deployment.StartAll() ||
      !deployment.Order("PUT", "/configuration", kConfiguration, 0, 15'000) ||
      !deployment.AwaitReady(15'000)) {
    record.Write("the deployment did not start");
    return kCouldNotRun;
  }
  Desk muscat(record, "desk-muscat");
  Desk sohar(record, "desk-sohar");
  const std::string port = ":" + std::to_string(deployment.ServerPort());
  const Listener first(deployment.OtherAddress(1), deployment.ServerPort(),
                       [&](Socket& socket) { muscat.Serve(socket); });
  const Listener second(deployment.OtherAddress(2), deployment.ServerPort(),
                        [&](Socket& socket) { sohar.Serve(socket); });
  if (!first.IsOpen() || !second.IsOpen()) {
    return kCouldNotRun;
  }
  const Heartbeats beats_1(deployment, "desk-muscat", "order-desk",
                           deployment.OtherAddress(1) + port, "muscat-a");
  const Heartbeats beats_2(deployment, "desk-sohar", "order-desk",
                           deployment.OtherAddress(2) + port, "sohar-a");
  Sleep(4'000);
  int number = 0;
  if (SendRequests(deployment, record, number) < 2 || sohar.Runs() == 0) {
    record.Write("the deployment does not serve");
    return kCouldNotRun;
  }
  const auto leader = deployment.Leader();
  if (!leader) {
    return kCouldNotRun;
  }
  // A machine that does not lead, and the one to which the operator turns next.
  const std::size_t frozen = *leader == 0 ? 1 : 0;
  const std::size_t next = frozen + 1;
  const std::string zone = "/evacuation/sohar-a";
  if (!deployment.Order("POST", zone, "", next, 8'000)) {
    return kCouldNotRun;
  }
  Sleep(6'000);
  if (!IsTroubleOff()) {
    record.Write("platform: " + deployment.At(frozen).address + " freezes");
    deployment.Signal(frozen, SIGSTOP);
  }
  const auto freeze = Clock::now();
  if (!deployment.Order("DELETE", zone, "", frozen, 8'000)) {
    return kCouldNotRun;
  }
  record.Write("operator: the evacuation is taken back");
  Sleep(1'500);
  if (!deployment.Order("POST", zone, "", next, 8'000)) {
    return kCouldNotRun;
  }
  const auto acknowledged = Clock::now();
  record.Write("operator: sohar-a is evacuated again, and stays so");
  std::this_thread::sleep_until(freeze + Milliseconds(kFreezeMs));
  if (!IsTroubleOff()) {
    record.Write("platform: " + deployment.At(frozen).address + " wakes");
    deployment.Signal(frozen, SIGCONT);
  }
  // From then on the core is stable and all machines are in touch.
  std::this_thread::sleep_until(
      std::max(Clock::now() + Milliseconds(kContactMs + 1'000),
               acknowledged + Milliseconds(kEvacuationMs + 1'000)));
  const int before = sohar.Runs();
  record.Write("from here on no request may reach a server in sohar-a");
  const auto end = Clock::now() + Milliseconds(kLookMs);
  int served = 0;
  while (Clock::now() < end) {
    served += SendRequests(deployment, record, number);
    Sleep(200);
  }
  const int reached = sohar.Runs() - before;
  record.Write("served " + std::to_string(served) + "; " +
               std::to_string(reached) +
               " requests reached the server in sohar-a");
  if (served == 0) {
    return kCouldNotRun;
  }
  if (reached > 0) {
    record.Write("EVAC is broken");
    return kBroken;
  }
  return kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return Run(record);
}
