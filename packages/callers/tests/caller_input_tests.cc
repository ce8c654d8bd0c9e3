#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "tamarackwing/callers.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::callers {
namespace {

http::RequestHead ModelHead() {
  http::RequestHead head;
  head.method = "POST";
  head.target = "/v1/chat/completions";
  head.headers.Add("Authorization", "Bearer fitter-key");
  return head;
}

RefusalCode RefusalCodeOf(const http::RequestHead& head) {
  const auto parsed = ParseCallerHead(head);
  return parsed ? RefusalCode::kNotReady : parsed.error();
}

TEST(CallerHeadTest, ParsesKeyAndDeadline) {
  http::RequestHead head = ModelHead();
  head.headers.Add("request-timeout", "1500");
  const auto parsed = ParseCallerHead(head);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->key, "fitter-key");
  EXPECT_EQ(parsed->deadline, std::chrono::milliseconds(1500));
}

TEST(CallerHeadTest, RefusesRepeatedAuthorizationHeader) {
  http::RequestHead head = ModelHead();
  head.headers.Add("authorization", "Bearer other");
  EXPECT_EQ(RefusalCodeOf(head), RefusalCode::kKeyInvalid);
}

TEST(CallerHeadTest, RefusesDeadlineThatIsInvalidOrOutOfRange) {
  for (const char* text : {"soon", "-5", "0", "1e3", "10s", "3600001", ""}) {
    http::RequestHead head = ModelHead();
    head.headers.Add("Request-Timeout", text);
    EXPECT_EQ(RefusalCodeOf(head), RefusalCode::kDeadlineInvalid) << text;
  }
}

TEST(CallerHeadTest, RefusesRequestWithHopHeaderAsLoop) {
  http::RequestHead head = ModelHead();
  head.headers.Add("tamarackwing-hop", "muscat-1");
  EXPECT_EQ(RefusalCodeOf(head), RefusalCode::kLoop);
}

TEST(CallerHeadTest, SplitsServicePathIntoRouteAndPath) {
  http::RequestHead head;
  head.method = "PUT";
  head.target = "/services/booking/orders/7?x=1";
  const auto parsed = ParseCallerHead(head);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->route, RouteName("booking"));
  EXPECT_EQ(parsed->path, "/orders/7?x=1");
}

TEST(CallerHeadTest, RefusesPathWithParentDirectory) {
  http::RequestHead head;
  head.method = "GET";
  head.target = "/services/booking/../gauge";
  EXPECT_EQ(RefusalCodeOf(head), RefusalCode::kMalformedRequest);
}

TEST(ModelCallTest, ParsesRouteStreamFlagAndTokenCounts) {
  const auto call = ParseModelCall(
      R"({"model":"drafting","stream":true,"max_tokens":40,
          "messages":[{"role":"user","content":"four dome lights"}]})");
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->route, RouteName("drafting"));
  EXPECT_TRUE(call->stream);
  EXPECT_EQ(call->output_tokens, 40);
  EXPECT_EQ(call->prompt_tokens, 5);
}

TEST(ModelCallTest, RefusesInvalidBodies) {
  for (const char* body :
       {"", "[]", "{", R"({"model":3,"prompt":"x"})", R"({"model":"m"})",
        R"({"model":"m","prompt":"x","max_tokens":-1})",
        R"({"model":"m","prompt":"x","stream":"yes"})"}) {
    EXPECT_FALSE(ParseModelCall(body).has_value()) << body;
  }
}

RC_GTEST_PROP(ModelCallTest,
              ParsesOrRefusesArbitraryBytes,
              (const std::string& bytes)) {
  const auto call = ParseModelCall(bytes);
  RC_ASSERT(!call || call->output_tokens > 0);
}

RC_GTEST_PROP(CallerHeadTest,
              ParsesOrRefusesArbitraryHeads,
              (const std::string& target,
               const std::string& key,
               const std::string& deadline)) {
  http::RequestHead head;
  head.method = "POST";
  head.target = target;
  head.headers.Add("Authorization", key);
  head.headers.Add("Request-Timeout", deadline);
  const auto parsed = ParseCallerHead(head);
  RC_ASSERT(!parsed || parsed->deadline->count() > 0);
}

}  // namespace
}  // namespace tamarackwing::callers
