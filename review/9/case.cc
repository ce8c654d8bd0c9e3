//! A replica's leave that a machine of the core has acknowledged is lost with
//! its process: the region's entry machine goes on to send requests.

#include <csignal>
#include <cstdio>

#include "../stand_ins_2/harness.h"

namespace {

using trial::Machine;
using trial::Now;
using trial::Request;
using trial::Sleep;

constexpr double kDrainS = 4.0;
constexpr double kContactS = 6.0;
//! The process that is killed is started again after this time.
constexpr double kDownS = 1.0;
constexpr int kRounds = 5;
//! How long the replica serves after its leave was acknowledged.
constexpr double kStaysS = 11.0;

//! Lets the only replica of a region leave; returns how many requests it ran
//! later than the rule allows.
int PlayRound(trial::Record& record,
              trial::Deployment& deployment,
              int round,
              bool& has_worked) {
  std::mutex mutex;
  std::vector<double> runs;
  const std::vector<Machine*> cores = deployment.Cores();
  const std::string id = "i-salalah-" + std::to_string(round + 1);
  trial::Replica replica(record, deployment, cores,
                         {id, "order-desk", "salalah-a"}, [&](const Request&) {
                           const std::lock_guard lock(mutex);
                           runs.push_back(Now());
                         });
  Sleep(3);
  Machine* const front = deployment.Fronts().back();
  std::atomic<bool> sending{true};
  std::thread client([&] {
    while (sending.load()) {
      const Request request =
          trial::ClientRequest("POST", "/booking/dome", 3'000, "one dome");
      const trial::Answer answer = trial::Call(front->Front(), request, 4);
      record.Add("client: " + trial::FieldOf(request.fields, "Attempt-Id") +
                 " to " + front->Name() + ": " + std::to_string(answer.status));
      Sleep(0.1);
    }
  });
  Sleep(2);
  const auto taken_by = replica.Deregister();
  const double acknowledged = Now();
  Machine* taker = nullptr;
  for (Machine* core : cores) {
    if (taken_by && core->Control().Text() == taken_by->Text()) {
      taker = core;
    }
  }
  double calm_from = acknowledged;
  if (taker != nullptr && !trial::IsCalm()) {
    record.Add("platform: kills " + taker->Name());
    taker->Kill();
    Sleep(kDownS);
    taker->Start();
    record.Add("platform: " + taker->Name() + " started again");
    calm_from = Now() + kContactS;
  }
  Sleep(acknowledged + kStaysS - Now());
  replica.Stop();
  record.Add("replica " + id + ": gone");
  Sleep(1);
  sending.store(false);
  client.join();
  has_worked = taker != nullptr && !runs.empty();
  const double bound = std::max(acknowledged + kDrainS, calm_from);
  int late = 0;
  for (const double run : runs) {
    late += run > bound ? 1 : 0;
  }
  return late;
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
                                        {"salalah-a", false}});
  deployment.StartAll();
  nlohmann::json configuration = trial::Configuration(3);
  configuration["Services"].push_back(trial::Service("order-desk"));
  configuration["Services"].push_back(trial::Service("drafting-desk"));
  configuration["Routes"].push_back(
      trial::Route("r-booking", "/booking/", "unsafe", "order-desk"));
  Request put;
  put.method = "PUT";
  put.target = "/configuration";
  put.body = configuration.dump();
  if (!deployment.Order(put, 20)) {
    return 2;
  }
  const std::vector<Machine*> cores = deployment.Cores();
  // With the one that leaves they are eight: a share of 0.125.
  std::vector<std::unique_ptr<trial::Replica>> others;
  for (const char* zone : {"muscat-a", "sohar-a"}) {
    for (int i = 1; i <= 3; ++i) {
      others.push_back(std::make_unique<trial::Replica>(
          record, deployment, cores,
          trial::ReplicaOptions{
              "i-drafting-" + std::string(zone) + std::to_string(i),
              "drafting-desk", zone}));
    }
  }
  trial::Replica muscat(record, deployment, cores,
                        {"i-muscat", "order-desk", "muscat-a"});
  for (Machine* front : deployment.Fronts()) {
    if (!deployment.AwaitReady(*front, 15)) {
      return 2;
    }
  }
  Sleep(6);
  int late = 0;
  bool has_worked = true;
  for (int round = 0; round < kRounds && late == 0 && has_worked; ++round) {
    late = PlayRound(record, deployment, round, has_worked);
  }
  record.Add("runs later than the bound: " + std::to_string(late));
  record.Add(late > 0 ? "DRAIN broken" : "DRAIN held");
  std::printf("%s, %d late runs\n", late > 0 ? "DRAIN broken" : "DRAIN held",
              late);
  if (late > 0) {
    return 1;
  }
  return has_worked ? 0 : 2;
}
