//! Tests of answers that a call must not pass on: those whose status is none,
//! and those that break off while the call's body is still being written.

#include <gtest/gtest.h>

#include <array>

#include "early_answer_server.h"
#include "path_gateway_fixture.h"

namespace tamarackwing::gateway {
namespace {

using http::AfterAnswer;
using http::EarlyAnswer;
using http::kLargeUpload;
using http::kMediumUpload;

//! Sends the body of a call, and takes each answer for that to its call.
class BodyProtocol final : public PathProtocol {
 public:
  http::Request EncodeRequest(const PathCall& call,
                              const SendContext&) const override {
    http::Request request;
    request.head.method = call.method;
    request.head.target = call.target;
    request.head.headers.Add("Host", call.authority);
    request.body = call.body;
    return request;
  }
  PathResponse ReadResponse(const PathCall&,
                            const http::ResponseHead& head) const override {
    PathResponse response;
    response.answered = AnsweredCall::kThis;
    response.not_run = head.headers.Find("Rejected").has_value();
    response.is_stream = head.headers.Find("Content-Type").has_value();
    response.passed = head;
    return response;
  }
  http::Response EncodeRefusal(const Refusal& refusal) const override {
    return http::MakeResponse(refusal.ran == Ran::kNo ? 503 : 502, "text/plain",
                              "refused");
  }
};

//! Keeps the whole response.
class WholeResponse final : public http::ResponseWriter {
 public:
  http::asio::awaitable<bool> Send(http::Response response) override {
    this->status = response.head.status;
    this->body = std::move(response.body);
    this->is_complete = true;
    co_return true;
  }
  http::asio::awaitable<bool> StartStream(http::ResponseHead head) override {
    this->has_started = true;
    this->status = head.status;
    co_return true;
  }
  http::asio::awaitable<bool> WritePiece(std::string_view piece) override {
    this->body += piece;
    co_return true;
  }
  http::asio::awaitable<bool> FinishStream() override {
    this->is_complete = true;
    co_return true;
  }
  void Abort() override {}
  bool HasStarted() const override { return this->has_started; }
  void OnPeerGone(std::function<void()>) override {}
  bool IsPeerGone() override { return false; }

  unsigned status = 0;
  std::string body;
  bool is_complete = false;

 private:
  bool has_started = false;
};

//! What a caller gets, and to how many servers or hosts its call was sent.
struct CallEnd {
  unsigned status = 0;
  std::string body;
  int sends = 0;
  bool operator==(const CallEnd&) const = default;
};

std::ostream& operator<<(std::ostream& out, const CallEnd& end) {
  return out << end.status << " '" << end.body << "' after " << end.sends
             << " sends";
}

//! The kinds of calls, by the targets of their routes; the second must not run
//! twice.
constexpr std::array<const char*, 3> kTargets = {"/safe/1", "/once/1",
                                                 "/resumable/1"};

class EarlyAnswerTest : public PathGatewayTest {
 protected:
  EarlyAnswerTest() : PathGatewayTest(std::make_unique<BodyProtocol>()) {}

  void SetUp() override {
    this->servers.SetRetryReserve(1'000);
    this->AddRoute("safe", state::PathKind::kIdempotent);
    this->AddRoute("once", state::PathKind::kOnce);
    this->AddRoute("resumable", state::PathKind::kStream, true);
  }

  //! Replaces the servers by two others, so that earlier failures do not count.
  void ReplaceServers() {
    const std::size_t former = this->peers.size();
    for (std::size_t i = former - std::min<std::size_t>(former, 2); i < former;
         ++i) {
      this->AddServer("i-" + std::to_string(i), this->peers[i]->Port(), true);
    }
    for (std::size_t i = former; i < former + 2; ++i) {
      this->AddServer("i-" + std::to_string(i), this->AddPeer().Port());
    }
  }

  http::EarlyAnswerServer& AddPeer() {
    return *this->peers.emplace_back(
        std::make_unique<http::EarlyAnswerServer>(this->script));
  }

  int Requests() const {
    int requests = 0;
    for (const auto& peer : this->peers) {
      requests += peer->Requests();
    }
    return requests;
  }

  //! Makes a call with `upload` bytes, which the first peer that it is sent to
  //! answers with `answer`, and any other with 200 and "ok". The status is 0 if
  //! the response is not complete.
  CallEnd CallWith(const std::string& target,
                   std::size_t upload,
                   std::optional<EarlyAnswer> answer) {
    if (answer) {
      this->script.Set(std::move(*answer));
    }
    const int before = this->Requests();
    WholeResponse writer;
    PathCall call;
    call.id = "call-" + std::to_string(this->next_call++);
    call.authority = "h";
    call.method = "POST";
    call.target = target;
    call.body.assign(upload, 'x');
    http::asio::co_spawn(*this->threads.All().front(),
                         this->gateway.Serve(std::move(call), writer),
                         http::asio::use_future)
        .get();
    return {writer.is_complete ? writer.status : 0, writer.body,
            this->Requests() - before};
  }

  //! Expects that a call which gets `answer` is sent once more if it may run
  //! twice, and otherwise ends with an unknown outcome.
  void ExpectLost(std::size_t upload, const EarlyAnswer& answer) {
    for (const std::string target : kTargets) {
      if (!this->servers.LinksAreDown()) {
        this->ReplaceServers();
      }
      const CallEnd expected = target == "/once/1" ? CallEnd{502, "refused", 1}
                                                   : CallEnd{200, "ok", 2};
      EXPECT_EQ(this->CallWith(target, upload, answer), expected)
          << target << ", " << upload << " bytes, " << answer.bytes;
    }
  }

  http::EarlyAnswerScript script;
  std::vector<std::unique_ptr<http::EarlyAnswerServer>> peers;
};

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string kShort = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
const std::string kTooLarge =
    "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull";
const std::string kBusy =
    "HTTP/1.1 503 Busy\r\nRejected: 1\r\nContent-Length: 4\r\n\r\nfull";

// Guards against a response of a failing server that is passed on, or that a
// call is taken for rejected after, although it may have run.
TEST_F(EarlyAnswerTest, StatusOutside100To599IsNotPassedOn) {
  for (const std::string fields :
       {"", "Rejected: 1\r\n", "Content-Type: text/event-stream\r\n"}) {
    for (const std::string& answer : http::AnswersWithoutStatus(fields)) {
      this->ExpectLost(0, {answer, AfterAnswer::kEndAndRead});
    }
  }
}

// Guards against a failing server that stays in use because its broken
// responses come on connections that were used before.
TEST_F(EarlyAnswerTest, StatusOutside100To599CountsAgainstTheServer) {
  this->AddServer("only", this->AddPeer().Port());
  ASSERT_EQ(this->CallWith("/once/1", 0, std::nullopt).status, 200U);
  const EarlyAnswer broken{"HTTP/1.1 600 X\r\n\r\n", AfterAnswer::kEndAndRead};
  EXPECT_EQ(this->CallWith("/once/1", 0, broken), (CallEnd{502, "refused", 1}));
  EXPECT_EQ(this->CallWith("/once/1", 0, broken), (CallEnd{502, "refused", 1}));
  EXPECT_EQ(this->CallWith("/once/1", 0, std::nullopt),
            (CallEnd{503, "refused", 0}));
}

// Guards against part of an answer that is passed on as the whole.
TEST_F(EarlyAnswerTest, AnswerThatBreaksOffDuringUploadIsNotPassedOn) {
  for (const std::size_t upload : {kMediumUpload, kLargeUpload}) {
    for (const std::string& bytes : {kUnframed, kShort, kChunked}) {
      for (const AfterAnswer after :
           {AfterAnswer::kReset, AfterAnswer::kEndAndClose}) {
        this->ExpectLost(upload, {bytes, after});
      }
    }
  }
}

// Guards against a stream whose server broke it off between two events and that
// ends as if it were complete.
TEST_F(EarlyAnswerTest, StreamThatBreaksOffDuringUploadIsNotCompleted) {
  const std::string stream =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
      "id: 1\ndata: a\n\n";
  for (const std::size_t upload : {kMediumUpload, kLargeUpload}) {
    for (const AfterAnswer after :
         {AfterAnswer::kReset, AfterAnswer::kEndAndClose}) {
      this->ReplaceServers();
      const CallEnd end =
          this->CallWith("/resumable/1", upload, EarlyAnswer{stream, after});
      // A caller that has events gets no end; any other gets the answer of the
      // second server.
      EXPECT_TRUE(end.status == 0 || end == (CallEnd{200, "ok", 2}))
          << end << ", " << upload << " bytes";
    }
  }
}

// Guards against a host's answer that is trusted more than a server's.
TEST_F(EarlyAnswerTest, AnswerOfHostIsJudgedLikeThatOfServer) {
  for (int i = 0; i < 6; ++i) {
    this->AddServer("lost-" + std::to_string(i), this->UnusedPort());
  }
  this->LoseLinks();
  this->AddNeighbour("m-2", this->AddPeer().Port());
  this->AddNeighbour("m-3", this->AddPeer().Port());
  for (const std::string& answer : http::AnswersWithoutStatus()) {
    this->ExpectLost(0, {answer, AfterAnswer::kEndAndRead});
  }
  for (const AfterAnswer after :
       {AfterAnswer::kReset, AfterAnswer::kEndAndClose}) {
    this->ExpectLost(kMediumUpload, {kUnframed, after});
    this->ExpectLost(kLargeUpload, {kUnframed, after});
  }
  EXPECT_EQ(this->CallWith("/once/1", kLargeUpload, EarlyAnswer{kTooLarge}),
            (CallEnd{413, "full", 1}));
}

// Guards against a whole rejection that is lost, or a whole answer that is
// taken for broken off, because it came before the end of the upload.
TEST_F(EarlyAnswerTest, WholeAnswerDuringUploadCounts) {
  for (const std::size_t upload : {kMediumUpload, kLargeUpload}) {
    for (const char* target : kTargets) {
      this->ReplaceServers();
      EXPECT_EQ(this->CallWith(target, upload, EarlyAnswer{kTooLarge}),
                (CallEnd{413, "full", 1}));
      EXPECT_EQ(this->CallWith(target, upload, EarlyAnswer{kBusy}),
                (CallEnd{200, "ok", 2}));
      EXPECT_EQ(
          this->CallWith(target, upload,
                         EarlyAnswer{kUnframed, AfterAnswer::kEndAndRead}),
          (CallEnd{200, "part", 1}));
    }
  }
  this->ReplaceServers();
  EXPECT_EQ(this->CallWith("/once/1", kMediumUpload,
                           EarlyAnswer{kTooLarge, AfterAnswer::kEndAndClose}),
            (CallEnd{413, "full", 1}));
}

}  // namespace
}  // namespace tamarackwing::gateway
