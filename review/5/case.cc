//! A client's request has a transfer coding other than chunks, which says
//! nothing of the length of its body. The body holds the text of another
//! request. The gateway runs the outer request without its body, and then the
//! inner one.

#include <mutex>
#include <vector>

#include "../stand_ins/stand_ins.h"

namespace {

using namespace review;

constexpr int kRequests = 20;
constexpr int kAnswerMs = 1'500;

const char* const kConfiguration = R"({"Version":3,"Routes":[
  {"Name":"booking","Host":"orders.example","Prefix":"/booking/","Kind":"unsafe",
   "TimeoutMs":5000,"TargetLatencyMs":600,"Priority":2,"Service":"order-desk",
   "MaxAttempts":1,"AllowAnonymous":false,"HomeRegions":[]}],
  "Services":[{"Name":"order-desk","HealthPath":"/health","ConnectionLimit":110,
   "Protocol":"h1","TransportSecurity":false,"WarmupS":0.0,"WarmupPerS":0.0}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"desk","ApiKeys":["booking-desk-key"]}]})";

class OrderDesk {
 public:
  explicit OrderDesk(Record& record) : record(record) {}

  void Serve(Socket& socket) {
    while (true) {
      const auto request = socket.Read(Clock::now() + std::chrono::seconds(60));
      if (!request) {
        return;
      }
      const std::string attempt = request->Field("Attempt-Id");
      std::string line = "server: runs ";
      line.append(request->method).append(" ").append(request->target);
      line.append(", Attempt-Id ").append(attempt).append(", body of ");
      line.append(std::to_string(request->body.size())).append(" bytes");
      this->record.Write(line);
      {
        const std::lock_guard lock(this->mutex);
        this->runs.push_back(*request);
      }
      socket.Send(MakeAnswer(
          "200 OK", {{"Attempt-Id", attempt}, {"Response-Seal", attempt}},
          "booked"));
    }
  }

  std::vector<HttpMessage> Runs() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }

 private:
  Record& record;
  std::mutex mutex;
  std::vector<HttpMessage> runs;
};

//! The head of a request up to the fields that tell the length of its body.
std::string Head(const std::string& attempt) {
  return "POST /booking/order HTTP/1.1\r\nHost: orders.example\r\n"
         "Deadline-Milliseconds: 4000\r\n"
         "Authorization: Bearer booking-desk-key\r\nAttempt-Id: " +
         attempt + "\r\n";
}

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
  OrderDesk desk(record);
  const Listener listener(deployment.OtherAddress(1), deployment.ServerPort(),
                          [&](Socket& socket) { desk.Serve(socket); });
  if (!listener.IsOpen()) {
    return kCouldNotRun;
  }
  int answered = 0;
  {
    const Heartbeats beats(deployment, "desk-1", "order-desk",
                           deployment.OtherAddress(1) + ":" +
                               std::to_string(deployment.ServerPort()),
                           "muscat-a");
    Sleep(2'500);
    for (int i = 0; i < kRequests; ++i) {
      const std::string attempt = "sent-" + std::to_string(i);
      // These bytes are the body of a request, not a request.
      const std::string body = Head("inner-" + std::to_string(i)) +
                               "Content-Length: 9\r\n\r\ntwo domes";
      const std::string length =
          "Content-Length: " + std::to_string(body.size()) + "\r\n";
      const std::string coding = "Transfer-Encoding: gzip\r\n";
      record.Write("client: sends " + attempt + ", body of " +
                   std::to_string(body.size()) + " bytes, " +
                   (IsTroubleOff() ? "with a length" : coding.substr(0, 23)));
      const auto socket =
          Connect(deployment.At(3).address, deployment.FrontPort(), 1'000);
      socket->Send(Head(attempt) + (IsTroubleOff() ? length : coding) + "\r\n" +
                   body);
      const auto answer = socket->Read(Clock::now() + Milliseconds(kAnswerMs));
      record.Write("client: " + attempt + " is answered " +
                   std::to_string(answer ? answer->status : 0));
      answered += answer ? 1 : 0;
      Sleep(100);
    }
  }
  deployment.EndAll();
  int smuggled = 0;
  int changed = 0;
  for (const HttpMessage& run : desk.Runs()) {
    const bool is_inner = run.Field("Attempt-Id").rfind("inner-", 0) == 0;
    smuggled += is_inner ? 1 : 0;
    changed += !is_inner && run.body.empty() ? 1 : 0;
  }
  record.Write("answered " + std::to_string(answered) + " of " +
               std::to_string(kRequests) +
               "; runs that no client asked for: " + std::to_string(smuggled) +
               "; runs without the body: " + std::to_string(changed));
  if (answered == 0) {
    return kCouldNotRun;
  }
  if (smuggled + changed > 0) {
    record.Write("UNASKED is broken");
    return kBroken;
  }
  return kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return Run(record);
}
