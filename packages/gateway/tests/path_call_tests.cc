//! Tests of what identifies a request that its caller repeats.

#include "tamarackwing/gateway/path_call.h"

#include <gtest/gtest.h>

namespace tamarackwing::gateway {
namespace {

const WorkspaceName kWorkspace("huka");

PathCall Call() {
  PathCall call;
  call.id = "a1";
  call.authority = "h";
  call.method = "POST";
  call.target = "/quote/7?x=1";
  call.body = "survey";
  return call;
}

TEST(ContentDigest, IsTheSameForEachTryOfACaller) {
  PathCall repeated = Call();
  repeated.id = "a2";
  repeated.passed.Add("X-Estimate", "12");
  repeated.caller_timeout = std::chrono::milliseconds(700);
  repeated.shared_blocks = {1, 2};
  EXPECT_EQ(DigestContent(kWorkspace, Call()),
            DigestContent(kWorkspace, repeated));
}

TEST(ContentDigest, DiffersIfWorkspacePathMethodOrBodyDiffer) {
  const std::uint64_t digest = DigestContent(kWorkspace, Call());
  EXPECT_NE(DigestContent(WorkspaceName("voje"), Call()), digest);
  for (std::string PathCall::*field : {&PathCall::authority, &PathCall::method,
                                       &PathCall::target, &PathCall::body}) {
    PathCall other = Call();
    other.*field += "x";
    EXPECT_NE(DigestContent(kWorkspace, other), digest);
  }
}

}  // namespace
}  // namespace tamarackwing::gateway
