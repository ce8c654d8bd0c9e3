//! Tests of which answers of servers and of other hosts a call takes for its
//! own, and of what follows from the others.

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <mutex>
#include <thread>

#include "path_gateway_fixture.h"

namespace tamarackwing::gateway {
namespace {

namespace asio = boost::asio;

//! Names calls in the field `Call`, rejections in the field `Rejected`.
class NamedCallProtocol final : public PathProtocol {
 public:
  http::Request EncodeRequest(const PathCall& call,
                              const SendContext&) const override {
    http::Request request;
    request.head.method = call.method;
    request.head.target = call.target;
    request.head.headers.Add("Host", call.authority);
    request.head.headers.Add("Call", call.id);
    return request;
  }
  PathResponse ReadResponse(const PathCall& call,
                            const http::ResponseHead& head) const override {
    PathResponse response;
    const auto id = head.headers.Find("Call");
    if (id) {
      response.answered =
          *id == call.id ? AnsweredCall::kThis : AnsweredCall::kOther;
    }
    response.not_run = head.headers.Find("Rejected").has_value();
    response.other_server = head.status == 421;
    response.is_stream = head.headers.Find("Content-Type").has_value();
    if (head.headers.Find("Pause")) {
      response.statement.pause = std::chrono::minutes(1);
    }
    response.statement.leaving = head.headers.Find("Leaving").has_value();
    response.passed = head;
    return response;
  }
  http::Response EncodeRefusal(const Refusal& refusal) const override {
    return http::MakeResponse(refusal.ran == Ran::kNo ? 503 : 502, "text/plain",
                              "refused");
  }
};

//! What the first of several servers that gets a request sends.
struct Script {
  //! Comes before the answer to the request.
  std::string before;
  //! Comes in place of it, and a second time before the next answer on the same
  //! connection.
  std::string rejection;
};

//! A script that one server takes, once.
class SharedScript {
 public:
  void Set(Script next) {
    const std::lock_guard lock(this->mutex);
    this->script = std::move(next);
  }
  Script Take() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->script, {});
  }

 private:
  std::mutex mutex;
  Script script;
};

//! Answers each request, apart from what the script says. "@id" stands for the
//! id of the request there.
class NamingServer {
 public:
  explicit NamingServer(SharedScript& script)
      : script(script),
        acceptor(this->context, {asio::ip::address_v4::loopback(), 0}),
        thread([this] { this->Accept(); }) {}
  ~NamingServer() {
    this->is_down.store(true);
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
    for (const auto& socket : this->sockets) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    for (std::thread& connection : this->connections) {
      connection.join();
    }
  }

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  int Requests() const { return this->requests.load(); }

 private:
  using Socket = asio::ip::tcp::socket;

  void Accept() {
    while (!this->is_down.load()) {
      const auto socket = std::make_shared<Socket>(this->context);
      boost::system::error_code error;
      this->acceptor.accept(*socket, error);
      if (!error) {
        this->sockets.push_back(socket);
        this->connections.emplace_back([this, socket] {
          std::string late;
          while (this->Answer(*socket, late)) {
          }
        });
      }
    }
  }

  //! Answers one request; `late` is sent before the answer.
  bool Answer(Socket& socket, std::string& late) {
    boost::system::error_code error;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error) {
      return false;
    }
    this->requests.fetch_add(1);
    const Script taken = this->script.Take();
    std::string text = std::exchange(late, {}) + taken.before;
    if (taken.rejection.empty()) {
      text += "HTTP/1.1 200 OK\r\nCall: @id\r\nContent-Length: 2\r\n\r\nok";
    } else {
      text += taken.rejection;
    }
    const std::string field = "Call: ";
    const std::size_t at = request.find(field) + field.size();
    const std::string id = request.substr(at, request.find('\r', at) - at);
    for (std::size_t place = text.find("@id"); place != std::string::npos;
         place = text.find("@id")) {
      text.replace(place, 3, id);
    }
    if (!taken.rejection.empty()) {
      late = text;
    }
    asio::write(socket, asio::buffer(text), error);
    return !error;
  }

  SharedScript& script;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  //! Used by the accepting thread until it has ended.
  std::vector<std::shared_ptr<Socket>> sockets;
  std::vector<std::thread> connections;
  std::atomic<int> requests{0};
  std::atomic<bool> is_down{false};
  std::thread thread;
};

//! The kinds of calls, by the targets of their routes.
constexpr std::array<const char*, 3> kTargets = {"/safe/1", "/once/1",
                                                 "/resumable/1"};

//! What a caller hears, and to how many servers its call was sent.
struct CallEnd {
  unsigned status = 0;
  int sends = 0;
  bool operator==(const CallEnd&) const = default;
};

std::ostream& operator<<(std::ostream& out, const CallEnd& end) {
  return out << end.status << " after " << end.sends << " sends";
}

//! By kind of call.
using CallEnds = std::array<CallEnd, kTargets.size()>;
constexpr CallEnds kServed = {{{200, 1}, {200, 1}, {200, 1}}};
constexpr CallEnds kFailed = {{{200, 2}, {500, 1}, {200, 2}}};
constexpr CallEnds kNotRun = {{{200, 2}, {200, 2}, {200, 2}}};
//! After an answer that says nothing of the call.
constexpr CallEnds kMayHaveRun = {{{200, 2}, {502, 1}, {200, 2}}};

//! An answer that comes where that to a call is expected.
struct AnswerCase {
  const char* name;
  std::string head;
  //! On a connection that has carried other calls.
  CallEnds reused;
  //! On a new connection.
  CallEnds fresh;
};

const std::string kOwnId = "Call: @id\r\n";
const std::string kOtherId = "Call: of-before\r\n";
const std::string kNoBody = "Content-Length: 0\r\n\r\n";
const std::string kSuccess = "HTTP/1.1 200 OK\r\n";
const std::string kFailure = "HTTP/1.1 500 Failed\r\n";
const std::string kFull = "HTTP/1.1 503 Full\r\nRejected: 1\r\n";
const std::string kRedirect = "HTTP/1.1 421 Misdirected\r\nRejected: 1\r\n";
const std::string kRefusal =
    "HTTP/1.1 503 Refused\r\nTamarackwing-Refused: not-run\r\n";

std::vector<AnswerCase> AnswersOfServers() {
  return {
      {"own success", kSuccess + kOwnId, kServed, kServed},
      {"own failure", kFailure + kOwnId, kFailed, kFailed},
      {"own rejection", kFull + kOwnId, kNotRun, kNotRun},
      {"own redirect", kRedirect + kOwnId, kNotRun, kNotRun},
      {"another's success", kSuccess + kOtherId, kMayHaveRun, kMayHaveRun},
      {"another's failure", kFailure + kOtherId, kMayHaveRun, kMayHaveRun},
      {"another's rejection", kFull + kOtherId, kMayHaveRun, kMayHaveRun},
      {"another's redirect", kRedirect + kOtherId, kMayHaveRun, kMayHaveRun},
      {"success without id", kSuccess, kMayHaveRun, kMayHaveRun},
      {"failure without id", kFailure, kMayHaveRun, kMayHaveRun},
      {"rejection without id", kFull, kNotRun, kNotRun},
      {"redirect without id", kRedirect, kNotRun, kNotRun},
  };
}

std::vector<AnswerCase> AnswersOfHosts() {
  const std::string own = "Tamarackwing-Refused-Call: @id\r\n";
  const std::string other = "Tamarackwing-Refused-Call: of-before\r\n";
  return {
      {"own success", kSuccess + kOwnId, kServed, kServed},
      {"own failure", kFailure + kOwnId, kFailed, kFailed},
      {"own refusal", kRefusal + own, kNotRun, kNotRun},
      // Hosts of earlier versions send no id.
      {"refusal without id", kRefusal, kNotRun, kNotRun},
      {"another's refusal", kRefusal + other, kMayHaveRun, kMayHaveRun},
      {"another's success", kSuccess + kOtherId, kMayHaveRun, kMayHaveRun},
      {"another's rejection", kFull + kOtherId, kMayHaveRun, kMayHaveRun},
  };
}

class ForeignAnswerTest : public PathGatewayTest {
 protected:
  ForeignAnswerTest()
      : PathGatewayTest(std::make_unique<NamedCallProtocol>()) {}

  void SetUp() override {
    this->servers.SetRetryReserve(1'000);
    this->AddRoute("safe", state::PathKind::kIdempotent);
    this->AddRoute("once", state::PathKind::kOnce);
    this->AddRoute("resumable", state::PathKind::kStream, true);
  }

  NamingServer& AddPeer() {
    return *this->peers.emplace_back(
        std::make_unique<NamingServer>(this->script));
  }

  //! Replaces the servers by two others that no call has been sent to.
  void ReplaceServers() {
    for (std::size_t i = 0; i < this->peers.size(); ++i) {
      this->AddServer(ServerName(i), this->peers[i]->Port(), true);
    }
    for (int i = 0; i < 2; ++i) {
      const std::string name = ServerName(this->peers.size());
      this->AddServer(name, this->AddPeer().Port());
    }
  }

  static std::string ServerName(std::size_t peer) {
    return "i-" + std::to_string(peer);
  }

  int Requests() const {
    int requests = 0;
    for (const auto& peer : this->peers) {
      requests += peer->Requests();
    }
    return requests;
  }

  //! Makes a call that gets `head`, as that of an empty answer, before its own
  //! answer, from the first peer that it is sent to.
  CallEnd CallWith(const std::string& target, const std::string& head) {
    this->script.Set({head + kNoBody, ""});
    const int before = this->Requests();
    const unsigned status = this->Serve(target).status;
    return {status, this->Requests() - before};
  }

  //! As above, but the answer of the peer is `head`, which comes a second time
  //! before the connection's next answer.
  CallEnd CallRejectedWith(const std::string& target, const std::string& head) {
    this->script.Set({"", head + kNoBody});
    const int before = this->Requests();
    const unsigned status = this->Serve(target).status;
    return {status, this->Requests() - before};
  }

  SharedScript script;
  std::vector<std::unique_ptr<NamingServer>> peers;
};

// Guards against a late copy of another call's rejection that is believed: the
// call ran at two servers, or was refused although it ran.
TEST_F(ForeignAnswerTest, AnswerOfServerCountsOnlyForTheCallThatItNames) {
  for (const AnswerCase& one : AnswersOfServers()) {
    for (std::size_t kind = 0; kind < kTargets.size(); ++kind) {
      this->ReplaceServers();
      EXPECT_EQ(this->CallWith(kTargets[kind], one.head), one.fresh[kind])
          << one.name << ", " << kTargets[kind] << ", new connection";
      this->ReplaceServers();
      // Each server has an open connection then.
      for (int i = 0; i < 8; ++i) {
        ASSERT_EQ(this->Serve("/safe/1").status, 200U);
      }
      EXPECT_EQ(this->CallWith(kTargets[kind], one.head), one.reused[kind])
          << one.name << ", " << kTargets[kind] << ", reused connection";
    }
  }
}

// Guards against the refusal of another forwarded call that is believed.
TEST_F(ForeignAnswerTest, AnswerOfHostCountsOnlyForTheCallThatItNames) {
  for (int i = 0; i < 6; ++i) {
    this->AddServer("lost-" + std::to_string(i), this->UnusedPort());
  }
  this->LoseLinks();
  this->AddNeighbour("m-2", this->AddPeer().Port());
  this->AddNeighbour("m-3", this->AddPeer().Port());
  for (const AnswerCase& one : AnswersOfHosts()) {
    for (std::size_t kind = 0; kind < kTargets.size(); ++kind) {
      for (int i = 0; i < 4; ++i) {
        ASSERT_EQ(this->Serve("/safe/1").status, 200U);
      }
      EXPECT_EQ(this->CallWith(kTargets[kind], one.head), one.reused[kind])
          << one.name << ", " << kTargets[kind];
    }
  }
}

// Guards against a server that is taken for paused or leaving after a late copy
// of what it said before.
TEST_F(ForeignAnswerTest, AnswerToAnotherCallSaysNothingOfItsServer) {
  this->AddServer("only", this->AddPeer().Port());
  ASSERT_EQ(this->Serve("/safe/1").status, 200U);
  const std::string statement = "Pause: 1\r\nLeaving: 1\r\n";
  EXPECT_EQ(this->CallWith("/once/1", kFull + kOtherId + statement),
            (CallEnd{502, 1}));
  EXPECT_EQ(this->Serve("/once/1").status, 200U);
  EXPECT_EQ(this->CallWith("/once/1", kFull + kOwnId + statement),
            (CallEnd{503, 1}));
  EXPECT_EQ(this->CallWith("/once/1", ""), (CallEnd{503, 0}));
}

// Guards against a late copy of a rejection that is believed, also if no id
// tells which call it rejects.
TEST_F(ForeignAnswerTest, LateCopyOfRejectionIsNotBelieved) {
  this->AddServer("only", this->AddPeer().Port());
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(this->CallRejectedWith("/once/1", kFull + kOwnId),
              (CallEnd{503, 1}));
    EXPECT_EQ(this->Serve("/once/1").status, 502U);
    EXPECT_EQ(this->Serve("/once/1").status, 200U);
    EXPECT_EQ(this->CallRejectedWith("/once/1", kFull), (CallEnd{503, 1}));
    EXPECT_EQ(this->Serve("/once/1").status, 200U);
  }
}

// Guards against a connection that is used again although the answer to its
// last call is still to come.
TEST_F(ForeignAnswerTest, ConnectionWithForeignAnswerIsNotUsedAgain) {
  this->AddServer("only", this->AddPeer().Port());
  ASSERT_EQ(this->Serve("/once/1").status, 200U);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(this->CallWith("/once/1", kFull + kOtherId), (CallEnd{502, 1}));
    EXPECT_EQ(this->Serve("/once/1").status, 200U);
  }
}

}  // namespace
}  // namespace tamarackwing::gateway
