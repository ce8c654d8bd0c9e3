#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "early_answer_server.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/state/set_parser.h"
#include "test_host.h"

namespace tamarackwing::tests {
namespace {

constexpr std::uint16_t kPort = 21'000;

//! A single host with one model engine and one service.
class RequestPathTest : public testing::Test {
 protected:
  void SetUp() override {
    auto set = state::ParseSet(this->Set());
    ASSERT_TRUE(set.has_value());
    this->settings.gateway.stream_silence = std::chrono::milliseconds(300);
    this->settings.servers.ramp = std::chrono::milliseconds(0);
    this->host = std::make_unique<daemon::Daemon>(this->settings, true);
    ASSERT_TRUE(this->host->Start().has_value());
    ASSERT_TRUE(PublishInitialSet(*this->host, *set));
    this->engine = this->StartServer("engine", {"drafter@3"});
    this->StartService();
    ASSERT_TRUE(WaitFor([&] {
      return this->Send(ServiceRequest("desk-key", "gauge", "")).status == 200;
    }));
    ASSERT_TRUE(WaitFor([&] {
      return this->Send(ModelRequest("desk-key", 1, false)).status == 200;
    }));
  }

  virtual std::string Set() const { return ExampleSet(); }

  //! Starts the server of the service routes.
  virtual void StartService() {
    this->service = this->StartServer("service", {"booking", "gauge"});
  }

  std::unique_ptr<fakes::FakeServer> StartServer(
      const std::string& name,
      std::vector<std::string> targets,
      std::chrono::milliseconds announce_every =
          std::chrono::milliseconds(100)) {
    fakes::FakeIdentity identity;
    identity.name = name;
    identity.region = "muscat";
    identity.data_centre = "muscat-a";
    identity.targets = std::move(targets);
    identity.hosts = {this->settings.backend_servers};
    fakes::FakeBehaviour behaviour;
    behaviour.report_lag = std::chrono::milliseconds(10);
    behaviour.announce_every = announce_every;
    auto server =
        std::make_unique<fakes::FakeServer>(this->threads, identity, behaviour);
    EXPECT_NE(server->Start({"127.0.0.1", 0}), 0);
    return server;
  }

  CallResult Send(http::Request request) {
    return Call(this->threads, this->settings.callers, std::move(request));
  }

  //! Counts the tokens t0, t1, ... up to the first that is missing.
  static std::size_t CountTokens(const std::string& body) {
    std::size_t count = 0;
    while (body.find("\"t" + std::to_string(count) + " \"") !=
           std::string::npos) {
      count += 1;
    }
    return count;
  }

  http::IoThreads threads{2};
  TemporaryFolder folder;
  daemon::Settings settings = SingleHostSettings(kPort, this->folder.Path());
  std::unique_ptr<daemon::Daemon> host;
  std::unique_ptr<fakes::FakeServer> engine;
  std::unique_ptr<fakes::FakeServer> service;

  void TearDown() override {
    this->host.reset();
    this->threads.Stop();
  }
};

TEST_F(RequestPathTest, DeliversCompleteStream) {
  const CallResult result = this->Send(ModelRequest("desk-key", 20, true));
  EXPECT_EQ(result.status, 200U);
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(CountTokens(result.body), 20U);
  EXPECT_NE(result.body.find("[DONE]"), std::string::npos);
}

TEST_F(RequestPathTest, NeverSendsKeyToBackendServers) {
  this->Send(ModelRequest("desk-key", 2, true));
  EXPECT_EQ(this->engine->Seen().find("desk-key"), std::string::npos);
  http::Request request = ModelRequest("desk-key", 2, true);
  request.head.headers.Add("X-Copy", "desk-key");
  EXPECT_EQ(this->Send(std::move(request)).status, 200U);
  EXPECT_EQ(this->engine->Seen().find("desk-key"), std::string::npos);
}

TEST_F(RequestPathTest, RefusesUnknownKeyWithoutRunningRequest) {
  const std::uint32_t before = this->engine->Started();
  const CallResult result = this->Send(ModelRequest("other-key", 2, true));
  EXPECT_EQ(result.status, 401U);
  EXPECT_NE(result.body.find("\"ran\":\"no\""), std::string::npos);
  EXPECT_EQ(this->engine->Started(), before);
}

TEST_F(RequestPathTest, RefusesUnreachableDeadline) {
  http::Request request = ModelRequest("desk-key", 4000, false);
  request.head.headers.Add("Request-Timeout", "500");
  const CallResult result = this->Send(std::move(request));
  EXPECT_EQ(result.status, 503U);
  EXPECT_NE(result.body.find("deadline_unreachable"), std::string::npos);
}

TEST_F(RequestPathTest, RefusesRequestOverWorkspaceBudget) {
  const CallResult result = this->Send(ModelRequest("crew-key", 500, false));
  EXPECT_EQ(result.status, 429U);
  EXPECT_NE(result.body.find("over_budget"), std::string::npos);
}

TEST_F(RequestPathTest, ResumesCutStreamWithoutLostOrDuplicateTokens) {
  fakes::FakeBehaviour behaviour = this->engine->Behaviour();
  behaviour.cut_after = 7;
  this->engine->SetBehaviour(behaviour);
  const CallResult result = this->Send(ModelRequest("desk-key", 20, true));
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(CountTokens(result.body), 20U);
  EXPECT_EQ(result.body.find("\"t6 \""), result.body.rfind("\"t6 \""));
}

TEST_F(RequestPathTest, ResumesSilentStreamOnNewConnection) {
  fakes::FakeBehaviour behaviour = this->engine->Behaviour();
  behaviour.silent_after = 5;
  this->engine->SetBehaviour(behaviour);
  const CallResult result = this->Send(ModelRequest("desk-key", 20, true));
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(CountTokens(result.body), 20U);
}

TEST_F(RequestPathTest, CallerDisconnectCancelsStream) {
  http::asio::co_spawn(
      *this->threads.All().front(),
      [](http::IoThreads& threads,
         http::Endpoint endpoint) -> http::asio::awaitable<void> {
        const TimePoint until =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        http::Connection connection(*threads.All().front());
        co_await connection.Connect(endpoint, until);
        co_await connection.Send(ModelRequest("desk-key", 2000, true), until);
        co_await connection.ReadHead(until);
      }(this->threads, this->settings.callers),
      http::asio::use_future)
      .get();
  EXPECT_TRUE(WaitFor([&] { return this->engine->Cancelled() > 0; }));
}

TEST_F(RequestPathTest, ResentOperationGetsFirstResponseAndRunsOnce) {
  const CallResult first =
      this->Send(ServiceRequest("desk-key", "booking", "two-domes"));
  const CallResult second =
      this->Send(ServiceRequest("desk-key", "booking", "two-domes"));
  EXPECT_EQ(first.status, 200U);
  EXPECT_EQ(second.status, 200U);
  EXPECT_EQ(first.body, second.body);
  EXPECT_EQ(this->service->Runs().at("two-domes"), 1U);
}

TEST_F(RequestPathTest, RefusesOperationWithoutIdempotencyKey) {
  const CallResult result =
      this->Send(ServiceRequest("desk-key", "booking", ""));
  EXPECT_EQ(result.status, 400U);
  EXPECT_NE(result.body.find("idempotency_key_missing"), std::string::npos);
}

TEST_F(RequestPathTest, ReportsUnknownOutcomeIfServerGoesSilent) {
  fakes::FakeBehaviour behaviour = this->service->Behaviour();
  behaviour.silent = true;
  this->service->SetBehaviour(behaviour);
  http::Request request = ServiceRequest("desk-key", "booking", "one-dome");
  request.head.headers.Add("Request-Timeout", "300");
  const CallResult result = this->Send(std::move(request));
  EXPECT_EQ(result.status, 504U);
  EXPECT_NE(result.body.find("\"ran\":\"unknown\""), std::string::npos);
  const CallResult again =
      this->Send(ServiceRequest("desk-key", "booking", "one-dome"));
  EXPECT_EQ(again.status, 409U);
  EXPECT_NE(again.body.find("\"ran\":\"unknown\""), std::string::npos);
}

TEST_F(RequestPathTest, KeyWithdrawalEndsOpenStreamsAndRefusesNewRequests) {
  const std::uint32_t before = this->engine->Started();
  auto stream = std::async(std::launch::async, [&] {
    return this->Send(ModelRequest("desk-key", 2'000, true));
  });
  ASSERT_TRUE(WaitFor([&] { return this->engine->Started() > before; }));
  this->host->Operators().Withdraw(DigestKey("desk-key"));
  const CallResult interrupted = stream.get();
  EXPECT_FALSE(interrupted.complete);
  EXPECT_EQ(this->Send(ModelRequest("desk-key", 1, false)).status, 401U);
  EXPECT_TRUE(WaitFor([&] { return this->engine->Cancelled() > 0; }));
}

TEST_F(RequestPathTest, DrainLetsOpenStreamsFinish) {
  const std::uint32_t before = this->engine->Started();
  auto stream = std::async(std::launch::async, [&] {
    return this->Send(ModelRequest("desk-key", 200, true));
  });
  ASSERT_TRUE(WaitFor([&] { return this->engine->Started() > before; }));
  EXPECT_TRUE(this->host->Drain());
  const CallResult result = stream.get();
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(CountTokens(result.body), 200U);
}

TEST_F(RequestPathTest, HostDrainedByOperatorRefusesNewRequests) {
  this->host->Operators().Change(
      state::DrainHost{this->settings.gateway.host, true},
      [](operators::OrderResult) {});
  EXPECT_TRUE(WaitFor([&] {
    this->host->Poll();
    const CallResult result = this->Send(ModelRequest("desk-key", 1, false));
    return result.body.find("draining") != std::string::npos;
  }));
}

TEST_F(RequestPathTest, RefusesMalformedRequestsAndKeepsServing) {
  const std::string head =
      "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
      "Authorization: Bearer desk-key\r\n";
  const std::uint32_t before = this->engine->Started();
  for (const std::string& bytes :
       {std::string("\x16\x03\x01 no HTTP\r\n\r\n"),
        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n",
        head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\n{}{}",
        head + "Content-Length: -1\r\n\r\n",
        head + "X-Long: " + std::string(20'000, 'a') + "\r\n\r\n",
        head + "Content-Length: 99999999\r\n\r\n"}) {
    const std::string response =
        CallRaw(this->threads, this->settings.callers, bytes);
    EXPECT_NE(response.find("HTTP/1.1 4"), std::string::npos) << bytes;
    EXPECT_NE(response.find("\"ran\":\"no\""), std::string::npos) << bytes;
  }
  EXPECT_EQ(this->engine->Started(), before);
  EXPECT_EQ(this->Send(ModelRequest("desk-key", 1, false)).status, 200U);
}

//! A host of a service whose servers bear one request per second while they
//! warm up, and report once.
class WarmUpPathTest : public RequestPathTest {
 protected:
  WarmUpPathTest() {
    this->settings.servers.lease = std::chrono::milliseconds(kReportOnce);
  }

  std::string Set() const override {
    return ExampleSet() +
           "[[services]]\nname = \"gauge\"\nwarmup_ms = 3000\n"
           "warmup_per_kilosecond = 1000\n";
  }

  void StartService() override {
    this->service =
        this->StartServer("service", {"booking", "gauge"}, kReportOnce);
  }

 private:
  static constexpr std::chrono::milliseconds kReportOnce{60'000};
};

// Guards against a server that gets its full load after it failed, although its
// process may have been replaced since its last report.
TEST_F(WarmUpPathTest, FailedServerGetsFewRequestsUntilItReports) {
  fakes::FakeBehaviour behaviour = this->service->Behaviour();
  behaviour.fail_status = 500;
  this->service->SetBehaviour(behaviour);
  EXPECT_NE(this->Send(ServiceRequest("desk-key", "gauge", "")).status, 200U);
  behaviour.fail_status = 0;
  this->service->SetBehaviour(behaviour);

  const std::uint32_t before = this->service->Started();
  const auto start = std::chrono::steady_clock::now();
  std::chrono::duration<double> passed{0};
  while (passed < std::chrono::seconds(3)) {
    this->Send(ServiceRequest("desk-key", "gauge", ""));
    passed = std::chrono::steady_clock::now() - start;
  }
  const std::uint32_t sent = this->service->Started() - before;
  EXPECT_GE(sent, 1U);
  EXPECT_LE(sent, passed.count() + 1);
}

//! A host whose services are served by a server that may answer early.
class EarlyAnswerPathTest : public RequestPathTest {
 protected:
  void StartService() override { this->Announce(); }

  //! Announces the server under a new name, so that its failures before do not
  //! count, and the one before as leaving.
  void Announce() {
    const auto post = [this](int number, bool leaving) {
      const nlohmann::json report = {
          {"name", "early-" + std::to_string(number)},
          {"region", "muscat"},
          {"data_centre", "muscat-a"},
          {"address", "127.0.0.1"},
          {"port", this->peer.Port()},
          {"targets", {"booking", "gauge"}},
          {"slots", 8},
          {"running", 0},
          {"queued", 0},
          {"prefill_rate", 20'000},
          {"decode_rate", 400},
          {"age_ms", 0},
          {"leaving", leaving}};
      http::Request request;
      request.head.method = "POST";
      request.head.target = "/v1/servers";
      request.head.headers.Add("Host", "h");
      request.body = report.dump();
      Call(this->threads, this->settings.backend_servers, std::move(request));
    };
    post(this->number, true);
    post(++this->number, false);
  }

  //! Sends a request with `upload` bytes whose first try gets `answer`.
  CallResult SendWith(const std::string& route,
                      std::size_t upload,
                      http::EarlyAnswer answer) {
    this->Announce();
    this->script.Set(std::move(answer));
    http::Request request = ServiceRequest(
        "desk-key", route, "key-" + std::to_string(this->number));
    request.body.assign(std::max<std::size_t>(upload, 2), 'x');
    return this->Send(std::move(request));
  }

  //! Expects that an operation which gets `answer` is sent once and ends with
  //! an unknown outcome, and that an idempotent request does not get it.
  void ExpectLost(std::size_t upload, const http::EarlyAnswer& answer) {
    const int before = this->peer.Requests();
    CallResult operation;
    // The ledger may refuse an operation as not run; it is not sent then.
    WaitFor([&] {
      operation = this->SendWith("booking", upload, answer);
      return operation.body.find("\"ran\":\"no\"") == std::string::npos;
    });
    EXPECT_EQ(operation.status, 502U) << answer.bytes;
    EXPECT_NE(operation.body.find("\"ran\":\"unknown\""), std::string::npos)
        << operation.body;
    EXPECT_EQ(this->peer.Requests() - before, 1) << answer.bytes;
    const CallResult gauge = this->SendWith("gauge", upload, answer);
    EXPECT_TRUE(gauge.body == "ok" || gauge.status == 502U)
        << gauge.status << " after " << answer.bytes;
  }

  http::EarlyAnswerScript script;
  http::EarlyAnswerServer peer{script};
  int number = 0;
};

// Guards against a response of a failing server that is passed on, or stored as
// the answer of an operation.
TEST_F(EarlyAnswerPathTest, StatusOutside100To599IsNotPassedOn) {
  for (const std::string& answer : http::AnswersWithoutStatus()) {
    this->ExpectLost(0, {answer, http::AfterAnswer::kEndAndRead});
  }
}

// Guards against part of a response that is passed on as the whole because its
// connection ended while the request was still being written.
TEST_F(EarlyAnswerPathTest, ResponseThatBreaksOffDuringUploadIsNotPassedOn) {
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\npart";
  // The host accepts requests of up to 4 MB.
  for (const std::size_t upload :
       {http::kMediumUpload, http::kMediumUpload * 3}) {
    for (const http::AfterAnswer after :
         {http::AfterAnswer::kReset, http::AfterAnswer::kEndAndClose}) {
      this->ExpectLost(upload, {unframed, after});
    }
  }
}

// Guards against a whole rejection that is lost because it came before the end
// of the upload.
TEST_F(EarlyAnswerPathTest, WholeRejectionDuringUploadIsPassedOn) {
  const std::string rejection =
      "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull";
  for (const std::string route : {"booking", "gauge"}) {
    for (const std::size_t upload :
         {http::kMediumUpload, http::kMediumUpload * 3}) {
      CallResult result;
      WaitFor([&] {
        result = this->SendWith(route, upload, {rejection});
        return result.body.find("\"ran\":\"no\"") == std::string::npos;
      });
      EXPECT_EQ(result.status, 413U) << route;
      EXPECT_EQ(result.body, "full") << route;
    }
  }
}

}  // namespace
}  // namespace tamarackwing::tests
