//! A backend server rejects a request as not run and sends a second copy of
//! that rejection late, on the same connection. The next request, which must
//! not run twice, gets the copy as its answer.

#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>

#include "../stand_ins/stand_ins.h"

namespace {

using namespace review;

constexpr int kRequests = 320;
//! Every so many-th request finds all places of the faulty server taken.
constexpr int kFullEvery = 10;
//! The largest share of its answers that a server may send a second time, and
//! for how long.
constexpr double kExtraShare = 0.03;
constexpr int kExtraMs = 5'000;
constexpr int kRequestMs = 4'000;
constexpr const char* kKey = "booking-desk-key";

const char* const kConfiguration = R"({"Version":3,"Routes":[
  {"Name":"booking","Host":"orders.example","Prefix":"/booking/","Kind":"unsafe",
   "TimeoutMs":5000,"TargetLatencyMs":600,"Priority":2,"Service":"order-desk",
   "MaxAttempts":1,"AllowAnonymous":false,"HomeRegions":[]}],
  "Services":[{"Name":"order-desk","HealthPath":"/health","ConnectionLimit":110,
   "Protocol":"h1","TransportSecurity":false,"WarmupS":0.0,"WarmupPerS":0.0}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"desk","ApiKeys":["booking-desk-key"]}]})";

//! An order desk that runs every request that it accepts.
class OrderDesk {
 public:
  OrderDesk(Record& record, std::string id, bool is_faulty)
      : record(record), id(std::move(id)), is_faulty(is_faulty) {}

  void Serve(Socket& socket) {
    std::string late;
    while (true) {
      const auto request = socket.Read(Clock::now() + std::chrono::seconds(60));
      if (!request) {
        return;
      }
      const std::string attempt = request->Field("Attempt-Id");
      if (request->Field("Expected-Instance") != this->id) {
        socket.Send(MakeAnswer("421 Misdirected Request",
                               {{"Attempt-Id", attempt}, {"Not-Executed", "1"}},
                               ""));
        continue;
      }
      if (this->IsFull()) {
        const std::string rejection = MakeAnswer(
            "503 Service Unavailable",
            {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, "full");
        this->record.Write(this->id + ": rejects " + attempt +
                           " as full, not run");
        socket.Send(rejection);
        late = this->TakesExtra() ? rejection : "";
        continue;
      }
      if (!late.empty()) {
        this->record.Write(this->id +
                           ": sends its answer of before once more, "
                           "late, where that to " +
                           attempt + " is expected");
        socket.Send(late);
        late.clear();
      }
      this->record.Write(this->id + ": runs " + attempt);
      {
        const std::lock_guard lock(this->mutex);
        this->runs[attempt] += 1;
      }
      Sleep(10);
      socket.Send(MakeAnswer("200 OK",
                             {{"Attempt-Id", attempt},
                              {"Response-Seal", this->id + "." + attempt}},
                             "booked"));
    }
  }

  int RunsOf(const std::string& attempt) {
    const std::lock_guard lock(this->mutex);
    return this->runs[attempt];
  }

 private:
  bool IsFull() {
    const std::lock_guard lock(this->mutex);
    this->answers += 1;
    if (!this->first_answer) {
      this->first_answer = Clock::now();
    }
    return this->is_faulty && this->answers % kFullEvery == 0;
  }
  //! Returns whether the answer is also sent a second time.
  bool TakesExtra() {
    const std::lock_guard lock(this->mutex);
    const bool is_within =
        this->extras + 1 <= kExtraShare * this->answers &&
        Clock::now() - *this->first_answer <= Milliseconds(kExtraMs);
    const bool takes = is_within && !IsTroubleOff();
    this->extras += takes ? 1 : 0;
    return takes;
  }

  Record& record;
  std::string id;
  bool is_faulty;
  std::optional<Clock::time_point> first_answer;
  int answers = 0;
  int extras = 0;
  std::mutex mutex;
  std::map<std::string, int> runs;
};

int Run(Record& record) {
  Deployment deployment({{"muscat-a", "muscat", true, ""},
                         {"muscat-a", "muscat", true, ""},
                         {"muscat-a", "muscat", true, ""},
                         {"muscat-a", "muscat", false, ""}},
                        record);
  if (!deployment.StartAll() ||
      !deployment.Order("PUT", "/configuration", kConfiguration, 0, 15'000) ||
      !deployment.AwaitReady(15'000)) {
    record.Write("the deployment did not start");
    return kCouldNotRun;
  }
  OrderDesk faulty(record, "desk-1", true);
  OrderDesk sound(record, "desk-2", false);
  const std::string port = ":" + std::to_string(deployment.ServerPort());
  const Listener first(deployment.OtherAddress(1), deployment.ServerPort(),
                       [&](Socket& socket) { faulty.Serve(socket); });
  const Listener second(deployment.OtherAddress(2), deployment.ServerPort(),
                        [&](Socket& socket) { sound.Serve(socket); });
  if (!first.IsOpen() || !second.IsOpen()) {
    return kCouldNotRun;
  }
  int broken = 0;
  int served = 0;
  {
    const Heartbeats beats_1(deployment, "desk-1", "order-desk",
                             deployment.OtherAddress(1) + port, "muscat-a");
    const Heartbeats beats_2(deployment, "desk-2", "order-desk",
                             deployment.OtherAddress(2) + port, "muscat-a");
    Sleep(2'500);
    for (int i = 0; i < kRequests; ++i) {
      const std::string attempt = "booking-" + std::to_string(i);
      const HttpMessage answer =
          Call(deployment.At(3).address, deployment.FrontPort(), "POST",
               "/booking/order",
               {{"Host", "orders.example"},
                {"Attempt-Id", attempt},
                {"Deadline-Milliseconds", std::to_string(kRequestMs)},
                {"Authorization", std::string("Bearer ") + kKey}},
               "two domes", kRequestMs + 1'000);
      const int runs = faulty.RunsOf(attempt) + sound.RunsOf(attempt);
      record.Write("client: " + attempt + " is answered " +
                   std::to_string(answer.status) +
                   "; runs: " + std::to_string(runs));
      served += answer.status == 200 ? 1 : 0;
      const bool is_promise = answer.status == 503 || answer.status == 429 ||
                              answer.status == 408 || answer.status == 421;
      if (runs > 1) {
        record.Write("TWICE is broken: " + attempt + " has run " +
                     std::to_string(runs) + " times");
        broken += 1;
      } else if (runs == 1 && is_promise) {
        record.Write("REFUSED is broken: " + attempt + " has run");
        broken += 1;
      }
      Sleep(8);
    }
  }
  deployment.EndAll();
  record.Write("served " + std::to_string(served) + " of " +
               std::to_string(kRequests) + ", broken " +
               std::to_string(broken));
  if (served == 0) {
    return kCouldNotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return Run(record);
}
