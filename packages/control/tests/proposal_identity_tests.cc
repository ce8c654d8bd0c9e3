//! Tests that an outcome reaches only the proposal that it belongs to.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "control_cluster.h"

namespace tamarackwing::control {
namespace {

using state::ApplyKind;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{20'000};

class ProposalIdentityTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                       kTimeout));
    // Wait until views and live hosts are agreed.
    this->cluster.Run(milliseconds(5'000));
  }

  //! Returns the host beside the leader, which forwards its proposals to it.
  HostName Neighbour() {
    const HostName leader = this->cluster.Leader();
    const std::string region =
        this->cluster.Node(leader).State().Hosts().at(leader).region.Text();
    return HostName(region + "-2");
  }

  //! Waits for the outcome of a proposal; kIgnored if there is none.
  ApplyKind Await(const HostName& host, std::uint64_t number) {
    this->cluster.RunUntil(
        [&] { return this->cluster.Outcome(host, number).has_value(); },
        kTimeout);
    return this->cluster.Outcome(host, number)
        .value_or(state::ApplyOutcome())
        .kind;
  }

  ControlCluster cluster{{"muscat", "sohar", "salalah"}, 2, milliseconds(80)};
};

// Guards against a lost change that is acknowledged because the entry of a
// later leader has its index.
TEST_F(ProposalIdentityTest, EntryOfNextLeaderDoesNotCompleteForwardedChange) {
  const HostName leader = this->cluster.Leader();
  const HostName proposer = this->Neighbour();
  this->cluster.Partition({leader, proposer});
  const std::uint64_t number = this->cluster.Change(proposer, NumberedSet(7));
  ASSERT_TRUE(this->cluster.RunUntil(
      [&] { return this->cluster.Leader() != leader; }, kTimeout));
  this->cluster.Heal();
  EXPECT_EQ(this->Await(proposer, number), ApplyKind::kApplied);
  this->cluster.Run(milliseconds(2'000));
  for (const HostName& host : this->cluster.Names()) {
    EXPECT_EQ(this->cluster.Node(host).State().SetNumber(), 7U) << host.Text();
  }
}

// Guards against an outcome for an earlier process of a host that is taken for
// that of the new process's proposal.
TEST_F(ProposalIdentityTest, OutcomeForEarlierProcessDoesNotCompleteChange) {
  const HostName leader = this->cluster.Leader();
  const HostName proposer = this->Neighbour();
  this->cluster.Change(proposer, NumberedSet(3));
  this->cluster.Run(milliseconds(100));
  this->cluster.Crash(proposer);
  this->cluster.Restart(proposer);
  // What the leader is sent meanwhile is lost.
  this->cluster.Partition({proposer});
  const std::uint64_t number = this->cluster.Change(proposer, NumberedSet(5));
  this->cluster.Run(milliseconds(20));
  this->cluster.Heal();
  ASSERT_EQ(this->cluster.Leader(), leader);
  EXPECT_EQ(this->Await(proposer, number), ApplyKind::kApplied);
  EXPECT_EQ(this->cluster.Node(proposer).State().SetNumber(), 5U);
  this->cluster.Run(milliseconds(2'000));
  EXPECT_EQ(this->cluster.Node(leader).State().SetNumber(), 5U);
}

// Guards against a proposal that the leader drops because an earlier process of
// its host has an open one of the same number.
TEST_F(ProposalIdentityTest, ChangeOfNewProcessIsNotHeldUpByEarlierOne) {
  const HostName leader = this->cluster.Leader();
  const HostName proposer = this->Neighbour();
  this->cluster.Partition({leader, proposer});
  this->cluster.Change(proposer, NumberedSet(3));
  this->cluster.Run(milliseconds(300));
  this->cluster.Crash(proposer);
  this->cluster.Restart(proposer);
  const std::uint64_t number = this->cluster.Change(proposer, NumberedSet(5));
  this->cluster.Run(milliseconds(300));
  this->cluster.Heal();
  ASSERT_EQ(this->cluster.Leader(), leader);
  EXPECT_EQ(this->Await(proposer, number), ApplyKind::kApplied);
  EXPECT_EQ(this->cluster.Node(leader).State().SetNumber(), 5U);
}

// Guards against an order that waits in a host that is cut off, and undoes a
// newer one once the host is back.
TEST_F(ProposalIdentityTest, OrderOfHostThatWasCutOffLosesToNewerOne) {
  const DataCentreName data_centre("sohar-a");
  const auto order = [&](const HostName& host, bool closes) {
    const auto& revisions =
        this->cluster.SnapshotOf(host)->data_centre_revisions;
    const auto known = revisions.find(data_centre);
    return this->cluster.Change(
        host,
        state::CloseDataCentre{data_centre, closes,
                               known == revisions.end() ? 0 : known->second});
  };
  const HostName leader = this->cluster.Leader();
  const HostName cut_off(leader == HostName("muscat-1") ? "sohar-1"
                                                        : "muscat-1");
  ASSERT_EQ(this->Await(leader, order(leader, true)), ApplyKind::kApplied);
  this->cluster.Run(milliseconds(1'000));
  this->cluster.Partition({cut_off});
  const std::uint64_t late = order(cut_off, false);
  for (const bool closes : {false, true}) {
    ASSERT_EQ(this->Await(leader, order(leader, closes)), ApplyKind::kApplied);
  }
  this->cluster.Run(milliseconds(4'000));
  this->cluster.Heal();
  EXPECT_EQ(this->Await(cut_off, late), ApplyKind::kConflict);
  this->cluster.Run(milliseconds(2'000));
  for (const HostName& host : this->cluster.Names()) {
    EXPECT_TRUE(this->cluster.SnapshotOf(host)->closed_data_centres.contains(
        data_centre))
        << host.Text();
  }
}

//! Proposes changes, none of which undoes another, at hosts whose processes and
//! links fail meanwhile.
class ChangesAmongFailures {
 public:
  explicit ChangesAmongFailures(std::uint64_t seed) : random(seed) {}

  void Run() {
    RC_ASSERT(this->cluster.RunUntil([&] { return this->cluster.AllReady(); },
                                     kTimeout));
    this->cluster.Disturb({3, 3, 10, milliseconds(1'500)});
    for (int step = 0; step < kSteps; ++step) {
      this->Fail();
      const HostName proposer = this->AnyHost();
      if (this->cluster.IsUp(proposer)) {
        const KeyDigest key("key-" + std::to_string(step));
        const std::uint64_t number =
            this->cluster.Change(proposer, state::WithdrawKeys{{key}});
        this->sent.emplace(std::pair(proposer, number), key);
      }
      this->cluster.Run(this->UpTo(700));
      this->NoteAcknowledged();
    }
    this->cluster.Disturb({});
    this->cluster.Heal();
    for (const HostName& host : this->cluster.Names()) {
      this->cluster.Restart(host);
    }
    this->cluster.Run(milliseconds(10'000));
  }

  //! Returns the changes that were acknowledged but are not in effect.
  std::vector<KeyDigest> Lost() {
    const auto in_effect =
        this->cluster.Node(this->cluster.Leader()).State().Withdrawn();
    std::vector<KeyDigest> lost;
    for (const KeyDigest& key : this->acknowledged) {
      if (!in_effect->contains(key)) {
        lost.push_back(key);
      }
    }
    return lost;
  }
  std::size_t Acknowledged() const { return this->acknowledged.size(); }

 private:
  static constexpr int kSteps = 40;

  milliseconds UpTo(std::uint64_t longest) {
    return milliseconds(10 * (1 + this->random.Below(longest / 10)));
  }
  HostName AnyHost() {
    const std::vector<HostName> names = this->cluster.Names();
    return names[this->random.Below(names.size())];
  }
  void Fail() {
    const HostName host = this->AnyHost();
    switch (this->random.Below(5)) {
      case 0:
        this->cluster.Partition({host});
        break;
      case 1:
        if (!this->cluster.Leader().IsEmpty()) {
          this->cluster.Partition({this->cluster.Leader(), host});
        }
        break;
      case 2:
        this->cluster.Heal();
        break;
      case 3:
        // The numbers of the process end with it.
        std::erase_if(this->sent, [&](const auto& entry) {
          return entry.first.first == host;
        });
        this->cluster.Crash(host);
        this->cluster.Restart(host);
        break;
      default:
        break;
    }
  }
  void NoteAcknowledged() {
    std::erase_if(this->sent, [&](const auto& entry) {
      const auto outcome =
          this->cluster.Outcome(entry.first.first, entry.first.second);
      if (outcome && outcome->kind == ApplyKind::kApplied) {
        this->acknowledged.push_back(entry.second);
      }
      return outcome.has_value();
    });
  }

  SeededRandom random;
  ControlCluster cluster{{"muscat", "sohar", "salalah"}, 2, milliseconds(40)};
  //! The open changes, by the proposing host and the proposal's number.
  std::map<std::pair<HostName, std::uint64_t>, KeyDigest> sent;
  std::vector<KeyDigest> acknowledged;
};

// Guards against an acknowledged change that no log holds, whatever process or
// leader its outcome comes from.
RC_GTEST_PROP(ProposalIdentity, AcknowledgedChangesAreNeverLost, ()) {
  ChangesAmongFailures changes(*rc::gen::arbitrary<std::uint64_t>());
  changes.Run();
  RC_ASSERT(changes.Lost().empty());
  RC_TAG(changes.Acknowledged() > 0);
}

}  // namespace
}  // namespace tamarackwing::control
