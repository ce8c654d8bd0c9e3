//! Tests of how the hosts of a region together spare a server that falls over
//! when it has to reject many requests.

#include "tamarackwing/policy/rejection_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPerKilosecond = 1'000;

//! A server that runs some requests for a while and rejects the others.
class FullServer {
 public:
  FullServer(std::size_t places, milliseconds run) : places(places), run(run) {}

  bool Accept(TimePoint now) {
    while (!this->ends.empty() && this->ends.front() <= now) {
      this->ends.pop_front();
    }
    if (this->ends.size() < this->places) {
      this->ends.push_back(now + this->run);
      return true;
    }
    this->rejected.push_back(now);
    return false;
  }
  void SetPlaces(std::size_t next) { this->places = next; }
  std::size_t MostRejectionsInASecond() const {
    std::size_t most = 0;
    for (auto first = this->rejected.begin(); first != this->rejected.end();
         ++first) {
      const auto last = std::upper_bound(first, this->rejected.end(),
                                         *first + std::chrono::seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

 private:
  std::size_t places;
  milliseconds run;
  std::deque<TimePoint> ends;
  std::vector<TimePoint> rejected;
};

//! Requests reach all hosts evenly. Returns how many were accepted.
int Play(FullServer& server,
         std::vector<RejectionGate>& hosts,
         TimePoint& now,
         int ticks) {
  int accepted = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    now += milliseconds(2);
    RejectionGate& host = hosts[static_cast<std::size_t>(tick) % hosts.size()];
    if (!host.MaySend(now)) {
      continue;
    }
    host.NoteSent();
    if (server.Accept(now)) {
      host.NoteAccepted();
      accepted += 1;
    } else {
      host.NoteRejected(now);
    }
    host.NoteEnded();
  }
  return accepted;
}

TEST(RejectionGateTest, HostsTogetherStayBelowTheRejectionsThatAServerBears) {
  for (const std::size_t count : {1U, 2U, 8U}) {
    for (const std::uint64_t tolerance : {8U, 20U}) {
      std::vector<RejectionGate> hosts(count);
      for (RejectionGate& host : hosts) {
        host.SetTolerance(tolerance * kPerKilosecond, count);
      }
      FullServer server(40, milliseconds(500));
      TimePoint now;
      Play(server, hosts, now, 5'000);
      server.SetPlaces(10);
      EXPECT_GT(Play(server, hosts, now, 10'000), 0);
      server.SetPlaces(1);
      Play(server, hosts, now, 10'000);
      EXPECT_LE(server.MostRejectionsInASecond(), tolerance)
          << count << " hosts";
    }
  }
}

TEST(RejectionGateTest, OneRequestDecidesAfterThePause) {
  RejectionGate gate;
  gate.SetTolerance(4 * kPerKilosecond, 1);
  TimePoint now;
  gate.NoteRejected(now);
  EXPECT_FALSE(gate.MaySend(now));
  EXPECT_EQ(gate.Wait(now), milliseconds(500));
  now += milliseconds(500);
  ASSERT_TRUE(gate.MaySend(now));
  gate.NoteSent();
  EXPECT_FALSE(gate.MaySend(now));
  EXPECT_EQ(gate.Wait(now), std::nullopt);
  gate.NoteAccepted();
  EXPECT_TRUE(gate.MaySend(now));
}

TEST(RejectionGateTest, RequestThatDecidesAndIsLostLetsAnotherDecide) {
  RejectionGate gate;
  gate.SetTolerance(4 * kPerKilosecond, 1);
  TimePoint now;
  gate.NoteRejected(now);
  now += milliseconds(500);
  gate.NoteSent();
  gate.NoteEnded();
  EXPECT_TRUE(gate.MaySend(now));
}

TEST(RejectionGateTest, PauseIsBoundedWhateverAServerNames) {
  for (const std::uint64_t tolerance :
       {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{1'000'000'000'000}}) {
    RejectionGate gate;
    gate.SetTolerance(tolerance, 8);
    TimePoint now;
    gate.NoteRejected(now);
    EXPECT_GE(gate.Wait(now), milliseconds(100));
    EXPECT_LE(gate.Wait(now), milliseconds(5'000));
  }
}

}  // namespace
}  // namespace tamarackwing::policy
