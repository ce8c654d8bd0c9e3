//! Tests of a connection whose peer answers before it has read the request, or
//! with a status that is none.

#include <gtest/gtest.h>

#include "early_answer_server.h"
#include "tamarackwing/http/connection.h"

namespace tamarackwing::http {
namespace {

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string kFramed = "Content-Length: 4\r\n\r\nfull";

class EarlyAnswerTest : public testing::Test {
 protected:
  //! Sends a request with `upload` bytes to the server, which answers with
  //! `answer`.
  Expected<Response, ConnectionError> Exchange(std::size_t upload,
                                               EarlyAnswer answer) {
    this->script.Set(std::move(answer));
    Request request;
    request.head.method = "POST";
    request.head.target = "/";
    request.body.assign(upload, 'x');
    auto fetched = asio::co_spawn(
        this->context,
        Fetch(this->context, {"127.0.0.1", this->server.Port()},
              std::move(request),
              std::chrono::steady_clock::now() + std::chrono::seconds(5),
              kMediumUpload),
        asio::use_future);
    this->context.restart();
    this->context.run();
    return fetched.get();
  }

  asio::io_context context;
  EarlyAnswerScript script;
  EarlyAnswerServer server{script};
};

// Guards against a response of a failing server that is passed on.
TEST_F(EarlyAnswerTest, StatusOutside100To599IsNoResponse) {
  for (const std::string& answer : AnswersWithoutStatus()) {
    EXPECT_FALSE(this->Exchange(0, {answer, AfterAnswer::kEndAndRead}))
        << answer;
  }
  for (const unsigned status : {200U, 418U, 503U, 599U}) {
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    const auto response =
        this->Exchange(0, {head + kFramed, AfterAnswer::kEndAndRead});
    ASSERT_TRUE(response) << status;
    EXPECT_EQ(response->head.status, status);
  }
}

// Guards against part of a response that is taken for the whole because its
// server reset the connection while the request was still being written.
TEST_F(EarlyAnswerTest, ResetDuringUploadBreaksTheResponseOff) {
  for (const std::size_t upload : {kMediumUpload, kLargeUpload}) {
    EXPECT_FALSE(this->Exchange(upload, {kUnframed, AfterAnswer::kReset}))
        << upload;
  }
}

// Guards against the same if the server first ends its response in order.
TEST_F(EarlyAnswerTest, CloseDuringUploadBreaksTheResponseOff) {
  for (const std::size_t upload : {kMediumUpload, kLargeUpload}) {
    EXPECT_FALSE(this->Exchange(upload, {kUnframed, AfterAnswer::kEndAndClose}))
        << upload;
  }
}

// Guards against whole responses that are taken for broken off.
TEST_F(EarlyAnswerTest, ResponseOfServerThatReadsTheRestIsWhole) {
  for (const std::size_t upload :
       {std::size_t{0}, kMediumUpload, kLargeUpload}) {
    const auto unframed =
        this->Exchange(upload, {kUnframed, AfterAnswer::kEndAndRead});
    ASSERT_TRUE(unframed) << upload;
    EXPECT_EQ(unframed->body, "part");
    const auto framed =
        this->Exchange(upload, {"HTTP/1.1 413 Too Large\r\n" + kFramed});
    ASSERT_TRUE(framed) << upload;
    EXPECT_EQ(framed->head.status, 413U);
  }
}

// Guards against a whole rejection that is lost with the rest of the request.
TEST_F(EarlyAnswerTest, FramedResponseIsWholeAlthoughTheConnectionIsLost) {
  const auto response = this->Exchange(
      kMediumUpload,
      {"HTTP/1.1 503 Busy\r\n" + kFramed, AfterAnswer::kEndAndClose});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->head.status, 503U);
  EXPECT_EQ(response->body, "full");
}

}  // namespace
}  // namespace tamarackwing::http
