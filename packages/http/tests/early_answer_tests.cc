//! Tests of a connection whose peer answers before it has read the request, or
//! with a status that is none.

#include <gtest/gtest.h>

#include "early_answer_server.h"
#include "tamarackwing/http/connection.h"

namespace tamarackwing::http {
namespace {

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

}  // namespace
}  // namespace tamarackwing::http
