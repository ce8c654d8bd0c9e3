#include "tamarackwing/state/control_state.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "tamarackwing/state/set_checker.h"
#include "tamarackwing/state/set_parser.h"

namespace tamarackwing::state {
namespace {

const RegionName kMuscat("muscat");
const RegionName kSohar("sohar");
const std::string kDigest(64, 'a');

//! Applies changes to a control state at consecutive indexes, as the log does.
class ControlStateTest : public testing::Test {
 protected:
  void SetUp() override {
    for (const RegionName& region : {kMuscat, kSohar}) {
      HostRecord host;
      host.name = HostName(region.Text() + "-1");
      host.region = region;
      host.has_disk = region == kMuscat;
      host.incarnation = 1;
      this->Apply(PutHost{host});
    }
  }

  ApplyOutcome Apply(const ControlChange& change) {
    return this->state.Apply(this->state.Applied() + 1, EncodeChange(change));
  }

  ApplyOutcome Publish(const std::string& id,
                       SetVersion base,
                       const ConfigurationSet& set) {
    PublishSet publish{PublishId(id), base, DiffSets(*this->state.Set(), set)};
    return this->Apply(publish);
  }

  static ConfigurationSet Set(TokenCount rate = 100,
                              std::vector<RegionName> homes = {kMuscat}) {
    ConfigurationSet set;
    const ResidencyRuleName oman("oman");
    set.residency_rules[oman] = {oman, {kMuscat, kSohar}};
    Workspace desk;
    desk.name = WorkspaceName("desk");
    desk.rate = rate;
    desk.burst = 10 * rate;
    desk.home_regions = std::move(homes);
    desk.residency = oman;
    set.workspaces[desk.name] = desk;
    const KeyDigest digest(kDigest);
    set.keys[digest] = {digest, desk.name, {kMuscat}};
    return set;
  }

  ControlState state;
};

TEST_F(ControlStateTest, OfTwoPublishesAgainstTheSameBaseOneConflicts) {
  const ApplyOutcome first = this->Publish("a", 0, Set(100));
  const ApplyOutcome second = this->Publish("b", 0, Set(200));
  EXPECT_EQ(first.kind, ApplyKind::kApplied);
  EXPECT_EQ(second.kind, ApplyKind::kConflict);
  EXPECT_EQ(second.version, first.version);
}

TEST_F(ControlStateTest, AResentPublishGetsTheFirstOutcome) {
  const ApplyOutcome first = this->Publish("a", 0, Set(100));
  this->Publish("b", first.version, Set(200));
  const ApplyOutcome again = this->Publish("a", 0, Set(100));
  EXPECT_EQ(again.kind, ApplyKind::kApplied);
  EXPECT_EQ(again.version, first.version);
  EXPECT_EQ(this->state.Set()->workspaces.begin()->second.rate, 200);
}

TEST_F(ControlStateTest, AnInvalidSetChangesNothingAndReportsAllErrors) {
  ConfigurationSet set = Set();
  set.keys.begin()->second.workspace = WorkspaceName("nobody");
  set.workspaces.begin()->second.home_regions = {RegionName("atlantis")};
  Route route;
  route.name = RouteName("booking");
  route.kind = RouteKind::kService;
  route.idempotent = false;
  route.home_regions = {kSohar};
  route.residency = ResidencyRuleName("oman");
  set.routes[route.name] = route;
  const ApplyOutcome outcome = this->Publish("a", 0, set);
  EXPECT_EQ(outcome.kind, ApplyKind::kRejected);
  EXPECT_EQ(this->state.Version(), 0U);
  std::set<config::FaultCode> codes;
  for (const config::Fault& fault : outcome.faults) {
    codes.insert(fault.code);
  }
  EXPECT_EQ(codes,
            (std::set<config::FaultCode>{config::FaultCode::kUnknownReference,
                                         config::FaultCode::kUnknownRegion,
                                         config::FaultCode::kNoCommonRegion,
                                         config::FaultCode::kNoDiskHost}));
}

TEST_F(ControlStateTest, CallerLimitsAreReplacedWithTheSet) {
  ConfigurationSet limited = Set();
  limited.caller_limits.body_bytes = 1'000;
  limited.caller_limits.head_timeout = std::chrono::seconds(3);
  this->Publish("a", 0, limited);
  EXPECT_EQ(this->state.Set()->caller_limits, limited.caller_limits);
  const auto again = ControlState::Decode(this->state.Encode());
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->Set()->caller_limits, limited.caller_limits);
  this->Publish("b", this->state.Version(), Set());
  EXPECT_EQ(this->state.Set()->caller_limits, CallerLimits());
}

TEST(SetParser, CallerLimitsAreParsedAndValidated) {
  const auto set = ParseSet(
      "[caller_limits]\nhead_bytes = 8000\nhead_ms = 500\nidle_ms = 9000\n");
  ASSERT_TRUE(set.has_value());
  EXPECT_EQ(set->caller_limits.head_bytes, 8'000U);
  EXPECT_EQ(set->caller_limits.idle_timeout, std::chrono::seconds(9));
  EXPECT_FALSE(set->caller_limits.body_bytes.has_value());
  EXPECT_FALSE(ParseSet("[caller_limits]\nhead_bytes = 0\n").has_value());
  EXPECT_FALSE(ParseSet("[caller_limits]\nhead_size = 1\n").has_value());
}

TEST(SetParser, NonAsciiLettersOutsideStringsAndCommentsAreRejected) {
  // One letter from each range that is missing from the parser's tables.
  for (const std::string letter : {"\u00e9", "\u3001", "\ufefe"}) {
    EXPECT_FALSE(ParseSet(letter + " = 1\n").has_value());
    EXPECT_FALSE(ParseSet("[[keys]]" + letter + "\n").has_value());
    EXPECT_TRUE(ParseSet("# " + letter + "\n").has_value());
  }
}

TEST_F(ControlStateTest, AWithdrawnKeyStaysWithdrawn) {
  this->Publish("a", 0, Set());
  this->Apply(WithdrawKeys{{KeyDigest(kDigest)}});
  EXPECT_TRUE(this->state.Set()->keys.empty());
  const ApplyOutcome again = this->Publish("b", this->state.Version(), Set());
  EXPECT_EQ(again.kind, ApplyKind::kRejected);
  const Key key{KeyDigest(kDigest), WorkspaceName("desk"), {kMuscat}};
  EXPECT_EQ(this->Apply(GrantKey{PublishId("c"), key}).kind,
            ApplyKind::kRejected);
}

TEST_F(ControlStateTest, AShareShrinksBeforeAnotherGrows) {
  const WorkspaceName desk("desk");
  const ApplyOutcome first = this->Publish("a", 0, Set(100, {kMuscat}));
  this->Apply(ConfirmVersion{first.version});
  const ApplyOutcome second =
      this->Publish("b", first.version, Set(100, {kMuscat, kSohar}));
  EXPECT_EQ(this->state.ShareOf(desk, kMuscat).rate, 50);
  EXPECT_EQ(this->state.ShareOf(desk, kSohar).rate, 0);
  this->Apply(ConfirmVersion{second.version});
  EXPECT_EQ(this->state.ShareOf(desk, kSohar).rate, 50);
}

TEST_F(ControlStateTest, AHostRecordOfAnOlderIncarnationIsIgnored) {
  HostRecord host = this->state.Hosts().at(HostName("muscat-1"));
  host.incarnation = 5;
  this->Apply(PutHost{host});
  host.incarnation = 4;
  EXPECT_EQ(this->Apply(PutHost{host}).kind, ApplyKind::kIgnored);
}

TEST_F(ControlStateTest, AViewWhoseEpochIsNotTheNextIsIgnored) {
  RegionView view;
  view.region = kMuscat;
  view.epoch = 2;
  EXPECT_EQ(this->Apply(PutRegionView{view}).kind, ApplyKind::kIgnored);
  view.epoch = 1;
  EXPECT_EQ(this->Apply(PutRegionView{view}).kind, ApplyKind::kApplied);
}

TEST_F(ControlStateTest,
       ANarrowedResidencyRuleIsCheckedAgainstAllItsReferences) {
  this->Publish("a", 0, Set());
  ConfigurationSet narrow = Set();
  narrow.residency_rules.begin()->second.regions = {kSohar};
  EXPECT_EQ(this->Publish("b", this->state.Version(), narrow).kind,
            ApplyKind::kRejected);
}

TEST_F(ControlStateTest, TheFullSetIsCheckedAfterARegionLostItsHosts) {
  this->Publish("a", 0, Set(100, {kMuscat, kSohar}));
  this->Apply(RemoveHost{HostName("sohar-1")});
  ConfigurationSet other = Set(100, {kMuscat, kSohar});
  other.keys.clear();
  PublishSet publish{PublishId("b"), this->state.Version(), {}};
  const Key key{
      KeyDigest(std::string(64, 'b')), WorkspaceName("desk"), {kMuscat}};
  publish.delta.keys.push_back(key);
  EXPECT_EQ(this->Apply(publish).kind, ApplyKind::kRejected);
}

RC_GTEST_FIXTURE_PROP(ControlStateTest,
                      CheckDeltaFailsExactlyWhenCheckSetFails,
                      ()) {
  this->Publish("a", 0, Set());
  const Topology topology{{kMuscat, kSohar}, {kMuscat}};
  ConfigurationSet next = *this->state.Set();
  const std::vector<std::string> names{"desk",     "nobody", "oman",
                                       "atlantis", "muscat", "sohar"};
  const auto name = [&] {
    return names[static_cast<std::size_t>(*rc::gen::inRange(0, 6))];
  };
  SetDelta delta;
  Workspace workspace;
  workspace.name = WorkspaceName(name());
  workspace.home_regions = {RegionName(name())};
  workspace.residency = ResidencyRuleName(name());
  Key key{KeyDigest(name()), WorkspaceName(name()), {RegionName(name())}};
  Route route;
  route.name = RouteName(name());
  route.kind = RouteKind::kService;
  route.idempotent = *rc::gen::inRange(0, 2) == 0;
  route.home_regions = {RegionName(name())};
  route.residency = ResidencyRuleName(name());
  delta.workspaces.push_back(workspace);
  delta.keys.push_back(key);
  delta.routes.push_back(route);
  if (*rc::gen::inRange(0, 3) == 0) {
    delta.removed.push_back({ObjectKind::kWorkspace, "desk"});
  }
  ApplyDelta(delta, next);
  const auto full = CheckSet(next, topology, {});
  const auto incremental = CheckDelta(next, delta, topology, {});
  RC_ASSERT(full.empty() == incremental.empty());
}

TEST_F(ControlStateTest, TheStateRoundTripsThroughItsEncoding) {
  this->Publish("a", 0, Set());
  this->Publish("b", this->state.Version(), Set(200));
  this->Apply(WithdrawKeys{{KeyDigest("x")}});
  const std::string bytes = this->state.Encode();
  const auto again = ControlState::Decode(bytes);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->Encode(), bytes);
  EXPECT_EQ(*again->Set(), *this->state.Set());
}

RC_GTEST_PROP(ControlChange,
              ArbitraryBytesAreDecodedOrRejected,
              (const std::string& b)) {
  static_cast<void>(DecodeChange(b));
  static_cast<void>(ControlState::Decode(b));
  RC_ASSERT(ParseSet(b).has_value() == b.empty() || !b.empty());
}

//! Guards against a process that ends because a list or a map in a message
//! claims to be larger than memory.
TEST(ControlChange, LengthsBeyondMemoryAreRejected) {
  for (const char* head : {"\xBB", "\x9B"}) {
    const std::string bytes = head + std::string(8, 'a');
    EXPECT_FALSE(DecodeChange(bytes).has_value());
    EXPECT_FALSE(ControlState::Decode(bytes).has_value());
  }
}

//! Reference model of publishing: one version number and one map of outcomes.
struct PublishModel {
  SetVersion version = 0;
  TokenCount rate = 0;
  std::map<std::string, std::pair<bool, SetVersion>> outcomes;
};

RC_GTEST_FIXTURE_PROP(ControlStateTest,
                      ConcurrentPublishesMatchTheReferenceModel,
                      ()) {
  PublishModel model;
  for (int i = 0; i < 50; ++i) {
    const std::string id = std::to_string(*rc::gen::inRange(0, 30));
    const bool is_stale = *rc::gen::inRange(0, 3) == 0;
    const SetVersion base = is_stale ? model.version / 2 : model.version;
    const TokenCount rate = *rc::gen::inRange(1, 1'000);
    const ApplyOutcome outcome = this->Publish(id, base, Set(rate));
    const auto known = model.outcomes.find(id);
    if (known == model.outcomes.end()) {
      const bool wins = base == model.version;
      if (wins) {
        model.version = this->state.Applied();
        model.rate = rate;
      }
      model.outcomes[id] = {wins, model.version};
    }
    RC_ASSERT((outcome.kind == ApplyKind::kApplied) ==
              model.outcomes[id].first);
    RC_ASSERT(outcome.version == model.outcomes[id].second);
    RC_ASSERT(this->state.Version() == model.version);
    if (model.version != 0) {
      RC_ASSERT(this->state.Set()->workspaces.begin()->second.rate ==
                model.rate);
    }
  }
}

class DataCentreOrderTest : public testing::Test {
 protected:
  void SetUp() override { this->PutHostOfFormat(kRevisionFormat); }

  void PutHostOfFormat(std::uint32_t format) {
    PutHost put;
    put.host.name = HostName("host");
    put.host.reads_format = format;
    this->state.Apply(++this->index, EncodeChange(put));
  }
  ApplyKind Order(bool closes, std::optional<LogIndex> revision) {
    const CloseDataCentre change{this->data_centre, closes, revision};
    return this->state.Apply(++this->index, EncodeChange(change)).kind;
  }
  LogIndex Revision() const {
    const auto found = this->state.Revisions().find(this->data_centre);
    return found == this->state.Revisions().end() ? 0 : found->second;
  }
  bool IsClosed() const {
    return this->state.ClosedDataCentres().contains(this->data_centre);
  }

  DataCentreName data_centre{"sohar-a"};
  ControlState state;
  LogIndex index = 0;
};

// Guards against a late order to open a data centre that undoes a newer one to
// close it.
TEST_F(DataCentreOrderTest, OrderBasedOnAnEarlierRevisionConflicts) {
  EXPECT_EQ(this->Order(true, this->Revision()), ApplyKind::kApplied);
  const LogIndex closed = this->Revision();
  EXPECT_EQ(this->Order(false, closed), ApplyKind::kApplied);
  EXPECT_EQ(this->Order(true, this->Revision()), ApplyKind::kApplied);
  EXPECT_EQ(this->Order(false, closed), ApplyKind::kConflict);
  EXPECT_TRUE(this->IsClosed());
  const auto decoded = ControlState::Decode(this->state.Encode());
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->Revisions(), this->state.Revisions());
}

TEST_F(DataCentreOrderTest, ResentOrderIsAppliedAgain) {
  EXPECT_EQ(this->Order(true, 0), ApplyKind::kApplied);
  const LogIndex revision = this->Revision();
  EXPECT_EQ(this->Order(true, 0), ApplyKind::kApplied);
  EXPECT_EQ(this->Order(true, revision), ApplyKind::kApplied);
  EXPECT_EQ(this->Revision(), revision);
}

// Guards against hosts that disagree because those of an older format record no
// revisions.
TEST_F(DataCentreOrderTest, NoRevisionIsRecordedOrCheckedAmongOlderFormats) {
  EXPECT_EQ(this->Order(true, 0), ApplyKind::kApplied);
  EXPECT_EQ(this->Order(false, std::nullopt), ApplyKind::kApplied);
  EXPECT_EQ(this->Revision(), 0U);
  EXPECT_EQ(this->Order(true, 0), ApplyKind::kApplied);
  const LogIndex closed = this->Revision();
  this->PutHostOfFormat(kPackedFormat);
  EXPECT_EQ(this->Revision(), 0U);
  EXPECT_EQ(this->Order(false, closed), ApplyKind::kApplied);
  EXPECT_FALSE(this->IsClosed());
  EXPECT_EQ(this->Revision(), 0U);
}

// Guards against entries of this build that a build without proposal ids can't
// read: it decodes them like this one, and looks at no unknown member.
TEST(ControlChange, ProposalIdChangesNothingButThePayload) {
  CloseDataCentre change;
  change.data_centre = DataCentreName("muscat-a");
  const ProposalId id{HostName("muscat-1"), 1'765'000'000'000'000, 4};
  ProposalId next = id;
  next.number += 1;
  ProposalId restarted = id;
  restarted.incarnation += 1;
  const std::string payload = EncodeProposal(change, id);
  EXPECT_EQ(EncodeProposal(change, id), payload);
  EXPECT_NE(EncodeProposal(change, next), payload);
  EXPECT_NE(EncodeProposal(change, restarted), payload);
  const auto decoded = DecodeChange(payload);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeChange(*decoded), EncodeChange(change));
}

TEST(ControlStateHosts, TableIsCopiedOnlyWhileItIsShared) {
  ControlState state;
  LogIndex index = 0;
  const auto put = [&](const std::string& name, bool draining) {
    PutHost change;
    change.host.name = HostName(name);
    change.host.region = RegionName("muscat");
    change.host.draining = draining;
    state.Apply(++index, EncodeChange(change));
  };
  put("a", false);
  const auto held = state.HostTable();
  put("b", false);
  put("a", true);
  EXPECT_EQ(held->size(), 1U);
  EXPECT_FALSE(held->at(HostName("a")).draining);
  const auto* const table = &state.Hosts();
  put("c", false);
  EXPECT_EQ(&state.Hosts(), table);
  EXPECT_EQ(state.Hosts().size(), 3U);
}

}  // namespace
}  // namespace tamarackwing::state
