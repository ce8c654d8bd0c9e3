#include "tamarackwing/state/packed.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/control_state.h"

namespace tamarackwing::state {
namespace {

//! A set of path routes as a deployment has that adds a thousand of them at
//! once, and the operator's document for it.
ReplaceSet LargeSet(int routes) {
  ReplaceSet change;
  change.number = 7;
  const ResidencyRuleName rule("anywhere");
  change.set.residency_rules[rule] = {rule, {RegionName("muscat")}};
  const ServiceName service("drafting-desk");
  change.set.services[service].name = service;
  for (int i = 0; i < routes; ++i) {
    PathRoute route;
    route.name = RouteName("r-" + std::to_string(i * 7'919));
    route.authority = "ficu95.example";
    route.timeout = std::chrono::milliseconds(10'000);
    route.prefix = "/extra" + std::to_string(i * 104'729) + "/";
    route.services = {{service, 100}};
    route.residency = rule;
    change.document += R"({"Name":")" + route.name.Text() +
                       R"(","Host":"ficu95.example","Prefix":")" +
                       route.prefix +
                       R"(","Kind":"safe","TimeoutMs":10000,"MaxAttempts":2})";
    change.set.path_routes[route.name] = route;
  }
  return change;
}

PutHost Host(const std::string& name, std::uint32_t format) {
  PutHost change;
  change.host.name = HostName(name);
  change.host.region = RegionName("muscat");
  change.host.reads_format = format;
  return change;
}

RC_GTEST_PROP(PackedProperty, UnpackReversesPack, ()) {
  auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const auto repeats = *rc::gen::inRange<std::size_t>(1, 200);
  std::string many;
  for (std::size_t i = 0; i < repeats; ++i) {
    many += bytes;
  }
  // A change begins with a CBOR array.
  many.insert(many.begin(), '\x82');
  const auto unpacked = Unpack(Pack(many));
  RC_ASSERT(unpacked.has_value());
  RC_ASSERT(*unpacked == many);
}

RC_GTEST_PROP(PackedProperty, DamagedBytesAreRejectedOrDecodeToSomething, ()) {
  std::string packed = Pack(EncodeChange(LargeSet(20)));
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, packed.size());
    packed[at] = *rc::gen::arbitrary<char>();
  }
  packed.resize(*rc::gen::inRange<std::size_t>(0, packed.size() + 1));
  static_cast<void>(Unpack(packed));
  static_cast<void>(DecodeChange(packed));
  static_cast<void>(ControlState::Decode(packed));
}

TEST(Packed, SetOfAThousandRoutesTakesATenth) {
  const std::string plain = EncodeChange(LargeSet(1'120));
  const std::string packed = Pack(plain);
  EXPECT_LT(packed.size() * 10, plain.size());
  const auto change = DecodeChange(packed);
  ASSERT_TRUE(change);
  const auto& set = std::get<ReplaceSet>(*change);
  EXPECT_EQ(set.set.path_routes.size(), 1'120U);
  EXPECT_EQ(set.document, LargeSet(1'120).document);
}

TEST(Packed, SmallChangeStaysPlain) {
  const std::string plain = EncodeChange(LargeSet(3));
  EXPECT_EQ(Pack(plain), plain);
}

TEST(Packed, ClaimOfMoreThanTheBoundIsRejected) {
  std::string packed = Pack(EncodeChange(LargeSet(1'120)));
  // Byte 4 describes the frame; with the highest bits set, the content's size
  // follows in eight bytes.
  packed[4] = static_cast<char>(0xE0);
  for (std::size_t i = 5; i < 13; ++i) {
    packed[i] = static_cast<char>(0x7F);
  }
  EXPECT_FALSE(Unpack(packed));
}

TEST(Packed, StateIsPackedOnlyIfAllHostsReadIt) {
  ControlState state;
  state.Apply(1, EncodeChange(LargeSet(1'120)));
  const std::size_t plain = state.Encode().size();
  state.Apply(2, EncodeChange(Host("old", 0)));
  state.Apply(3, EncodeChange(Host("new", kPackedFormat)));
  EXPECT_GE(state.Encode().size(), plain);
  EXPECT_FALSE(state.AllHostsRead(kPackedFormat));
  state.Apply(4, EncodeChange(RemoveHost{HostName("old")}));
  EXPECT_LT(state.Encode().size() * 5, plain);
  const auto decoded = ControlState::Decode(state.Encode());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->Set()->path_routes.size(), 1'120U);
  EXPECT_TRUE(decoded->AllHostsRead(kPackedFormat));
}

// Only the newest member of a record may be missing.
TEST(Packed, HostRecordOfAnOlderBuildIsReadAndADamagedOneIsNot) {
  std::string bytes = EncodeChange(Host("a", 0));
  const auto rename = [&](const std::string& member) {
    std::string changed = bytes;
    changed[changed.find(member)] = 'x';
    return DecodeChange(changed);
  };
  ASSERT_TRUE(rename("reads_format"));
  EXPECT_EQ(std::get<PutHost>(*rename("reads_format")).host.name.Text(), "a");
  EXPECT_FALSE(rename("incarnation"));
}

}  // namespace
}  // namespace tamarackwing::state
