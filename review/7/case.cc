//! A withdrawal of an evacuation that nobody waits for any more opens the zone
//! after a later evacuation of it has been acknowledged.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "../stand_ins_2/harness.h"

namespace {

using trial::Machine;
using trial::Now;
using trial::Request;
using trial::Sleep;

constexpr const char* kZone = "sohar-a";
//! EvacuationMs, stretched by all of OuterMs.
constexpr double kBoundS = 5.0 + 10.0;
constexpr double kContactS = 6.0;
constexpr double kCatchUpS = 4.0;
//! How long requests are watched once the bound has passed.
constexpr double kWatchS = 2.0;
constexpr double kFreezeS = 4.0;
//! Until the operator decides that the zone stays evacuated.
constexpr double kSecondThoughtS = 0.3;
constexpr int kRounds = 9;
constexpr int kCalmRounds = 4;
//! The last moment at which a round may begin.
constexpr double kLastRoundAt = 84;

//! Returns the machine that said last that it leads.
Machine* FindLeader(trial::Deployment& deployment) {
  Machine* leader = nullptr;
  std::string last;
  for (Machine* core : deployment.Cores()) {
    std::ifstream log(deployment.Folder() + "/" + core->Name() + "/log.txt");
    for (std::string line; std::getline(log, line);) {
      const std::size_t term = line.find("\"term\":\"");
      if (line.find("leader_elected") != std::string::npos &&
          term != std::string::npos) {
        std::string number = line.substr(term + 8);
        number = number.substr(0, number.find('"'));
        number.insert(0, 8 - std::min<std::size_t>(8, number.size()), '0');
        if (number > last) {
          last = number;
          leader = core;
        }
      }
    }
  }
  return leader;
}

Request Evacuation(const std::string& method) {
  Request request;
  request.method = method;
  request.target = std::string("/evacuation/") + kZone;
  return request;
}

}  // namespace

int main(int count, char** arguments) {
  trial::Record record(std::string(count > 1 ? arguments[1] : ".") +
                       "/record.txt");
  trial::Deployment deployment(record, {{"muscat-a", true},
                                        {"muscat-a", true},
                                        {"sohar-a", true},
                                        {"sohar-a", true},
                                        {"salalah-a", true},
                                        {"muscat-a", false},
                                        {"sohar-a", false}});
  deployment.StartAll();
  nlohmann::json configuration = trial::Configuration(3);
  configuration["Services"].push_back(trial::Service("order-desk"));
  configuration["Routes"].push_back(
      trial::Route("r-booking", "/booking/", "unsafe", "order-desk"));
  Request put;
  put.method = "PUT";
  put.target = "/configuration";
  put.body = configuration.dump();
  if (!deployment.Order(put, 20)) {
    return 2;
  }
  std::mutex mutex;
  std::vector<double> runs;
  const std::vector<Machine*> cores = deployment.Cores();
  trial::Replica muscat(record, deployment, cores,
                        {"i-muscat", "order-desk", "muscat-a"});
  trial::Replica sohar(record, deployment, cores,
                       {"i-sohar", "order-desk", kZone}, [&](const Request&) {
                         const std::lock_guard lock(mutex);
                         runs.push_back(Now());
                       });
  for (Machine* front : deployment.Fronts()) {
    if (!deployment.AwaitReady(*front, 15)) {
      return 2;
    }
  }
  // All machines of the core are voters some seconds after the start.
  Sleep(6);
  std::atomic<bool> sending{true};
  std::vector<std::thread> clients;
  for (Machine* front : deployment.Fronts()) {
    clients.emplace_back([&sending, &record, front] {
      while (sending.load()) {
        const Request request =
            trial::ClientRequest("POST", "/booking/dome", 3'000, "one dome");
        const trial::Answer answer = trial::Call(front->Front(), request, 4);
        record.Add("client: " + trial::FieldOf(request.fields, "Attempt-Id") +
                   " to " + front->Name() + ": " +
                   std::to_string(answer.status));
        Sleep(0.1);
      }
    });
  }
  const auto runs_in = [&](double from, double to) {
    const std::lock_guard lock(mutex);
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(),
                      [&](double run) { return run > from && run <= to; }));
  };
  int late = 0;
  bool has_worked = true;
  const int rounds = trial::IsCalm() ? kCalmRounds : kRounds;
  for (int round = 0; round < rounds && Now() < kLastRoundAt; ++round) {
    has_worked = has_worked && deployment.Order(Evacuation("POST"), 8);
    Sleep(1.0);
    Machine* const leader = FindLeader(deployment);
    if (leader == nullptr) {
      has_worked = false;
      break;
    }
    std::thread thaw;
    const double frozen_at = Now();
    if (!trial::IsCalm()) {
      record.Add("platform: freezes " + leader->Name());
      leader->Signal(SIGSTOP);
      thaw = std::thread([&record, leader] {
        Sleep(kFreezeS);
        record.Add("platform: thaws " + leader->Name());
        leader->Signal(SIGCONT);
      });
    }
    // The operator takes the evacuation back. Without an answer within a
    // second he leaves it, and has the zone evacuated again.
    Machine* const first = cores.back() != leader ? cores.back() : cores[3];
    Request withdrawal = Evacuation("DELETE");
    withdrawal.fields.emplace_back("Host", first->Control().Text());
    const trial::Answer left = trial::Call(first->Control(), withdrawal, 1);
    record.Add("operator: DELETE of the evacuation to " + first->Name() + ": " +
               std::to_string(left.status));
    Sleep(kSecondThoughtS);
    has_worked = has_worked && deployment.Order(Evacuation("POST"), 8);
    const double acknowledged = Now();
    record.Add("operator: the evacuation is acknowledged");
    Sleep(3.0);
    const bool is_open = runs_in(acknowledged + 2, Now()) > 0;
    if (is_open) {
      const double bound =
          std::max(acknowledged + kBoundS, frozen_at + kFreezeS + kContactS);
      Sleep(bound + kWatchS - Now());
      late = runs_in(bound, Now());
    }
    record.Add("runs in the evacuated zone, later than the bound: " +
               std::to_string(late));
    if (thaw.joinable()) {
      thaw.join();
    }
    if (late > 0) {
      break;
    }
    has_worked = has_worked && deployment.Order(Evacuation("DELETE"), 8);
    if (!trial::IsCalm()) {
      Sleep(frozen_at + kFreezeS + kCatchUpS - Now());
    }
  }
  sending.store(false);
  for (std::thread& client : clients) {
    client.join();
  }
  record.Add(late > 0 ? "EVAC broken" : "EVAC held");
  std::printf("%s\n", late > 0 ? "EVAC broken" : "EVAC held");
  if (late > 0) {
    return 1;
  }
  return has_worked ? 0 : 2;
}
