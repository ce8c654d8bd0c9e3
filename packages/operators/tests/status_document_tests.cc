#include "status_document.h"

#include <gtest/gtest.h>

namespace tamarackwing::operators {
namespace {

using nlohmann::ordered_json;
using std::chrono::milliseconds;

control::StatusReply ReplyOfLeader() {
  control::StatusReply reply;
  reply.leader = HostName("a");
  reply.version = 7;
  reply.voters = {HostName("a"), HostName("b"), HostName("c")};
  reply.hosts = {{HostName("a"), 7, true}};
  return reply;
}

TEST(StatusDocument, NamesNoLeaderIfNoneReplied) {
  state::Snapshot here;
  here.version = 3;
  here.applied = 5;
  EXPECT_EQ(StatusDocument(here, std::nullopt), ordered_json::parse(R"({
    "here": {"version": 3, "applied": 5, "ready": false},
    "leader": null})"));
}

TEST(StatusDocument, HealthThatTheLeaderDoesNotTellIsNull) {
  const ordered_json body = StatusDocument({}, ReplyOfLeader());
  EXPECT_EQ(body.at("leader"), "a");
  EXPECT_EQ(body.at("version"), 7);
  EXPECT_EQ(body.at("voters"), ordered_json::parse(R"(["a", "b", "c"])"));
  EXPECT_TRUE(body.at("voter_health").is_null());
  EXPECT_EQ(body.at("hosts"), ordered_json::parse(R"([
    {"name": "a", "version": 7, "live": true}])"));
}

TEST(StatusDocument, TellsWhichVotersAreLostAndHowManyLossesAreLeft) {
  control::StatusReply reply = ReplyOfLeader();
  control::VoterHealth& health = reply.voter_health.emplace();
  EXPECT_EQ(StatusDocument({}, reply).at("voter_health"),
            ordered_json::parse(R"({
    "losses_left": 0, "lost": [], "joining": null})"));
  health.losses_left = 1;
  health.lost = {{HostName("b"), milliseconds(4'000), milliseconds(5'000)},
                 {HostName("c"), milliseconds(3'000), {}}};
  health.joining = HostName("d");
  EXPECT_EQ(StatusDocument({}, reply).at("voter_health"),
            ordered_json::parse(R"({
    "losses_left": 1,
    "lost": [{"name": "b", "silent_ms": 4000, "reply_age_ms": 5000},
             {"name": "c", "silent_ms": 3000, "reply_age_ms": null}],
    "joining": "d"})"));
}

}  // namespace
}  // namespace tamarackwing::operators
