#include "tamarackwing/hosts/peer_network.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <thread>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/hosts/peer_handler.h"

namespace tamarackwing::hosts {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPort = 7003;
constexpr milliseconds kTick{10};
constexpr std::chrono::seconds kLong{60};
const std::string kFirstAddress = "127.0.40.1";
const std::string kSecondAddress = "127.0.40.2";
const HostName kFirst("first");
const HostName kSecond("second");

//! A network with its own thread. The callbacks run on it.
class TestPeer final : public PeerHandler {
 public:
  using Callback = std::function<
      void(PeerNetwork&, const HostName&, const control::PeerMessage&)>;

  TestPeer(const HostName& name, const std::string& address, Callback callback)
      : callback(std::move(callback)) {
    std::promise<bool> listens;
    this->thread = std::thread([this, name, address, &listens] {
      NetworkOptions options;
      options.self = name;
      options.address = address;
      options.port = kPort;
      options.secret = "secret";
      options.call_timeout = kLong;
      PeerNetwork own(options, *this);
      this->network = &own;
      listens.set_value(own.Listen().has_value());
      own.Run(kTick, [this] { this->ticks += 1; });
    });
    EXPECT_TRUE(listens.get_future().get());
  }

  ~TestPeer() override {
    this->network->Stop();
    this->thread.join();
  }

  void HandleMessage(const HostName& from,
                     control::PeerMessage message) override {
    this->callback(*this->network, from, message);
  }

  PeerNetwork& Network() { return *this->network; }
  //! Number of ticks; to be read in callbacks only.
  int Ticks() const { return this->ticks; }

 private:
  Callback callback;
  PeerNetwork* network = nullptr;
  int ticks = 0;
  std::thread thread;
};

state::HostRecord RecordOf(const HostName& name, const std::string& address) {
  state::HostRecord record;
  record.name = name;
  record.peer_address = address;
  record.peer_port = kPort;
  return record;
}

//! Guards against a host that has lost its disk, knows only its seeds, and
//! cannot reply to the leader that brings it up to date.
TEST(PeerNetwork, HostThatKnowsNobodyRepliesToWhoeverConnects) {
  std::promise<std::uint64_t> replied;
  TestPeer second(kSecond, kSecondAddress,
                  [](PeerNetwork& network, const HostName& from,
                     const control::PeerMessage&) {
                    network.Send(from, control::ProbeReply{7, {}, {}, false});
                  });
  TestPeer first(
      kFirst, kFirstAddress,
      [&](PeerNetwork&, const HostName& from,
          const control::PeerMessage& message) {
        EXPECT_EQ(from, kSecond);
        replied.set_value(std::get<control::ProbeReply>(message).number);
      });
  first.Network().Post([&] {
    first.Network().SetHosts({RecordOf(kSecond, kSecondAddress)});
    first.Network().Send(kSecond, control::ProbeRequest{7});
  });
  auto number = replied.get_future();
  ASSERT_EQ(number.wait_for(kLong), std::future_status::ready);
  EXPECT_EQ(number.get(), 7U);
}

//! Guards against heartbeats and elections that wait until a host has handled
//! all that others send it.
TEST(PeerNetwork, TimersRunWhileMessagesKeepComing) {
  constexpr int kMessages = 1'000;
  constexpr milliseconds kTurn{1};
  // Ten times the number of turns that fit into the interval of the ticks.
  constexpr int kMaxTurnsWithoutTick = 10 * (kTick / kTurn);
  std::promise<void> done;
  int handled = 0;
  int ticks_seen = 0;
  int turns_without_tick = 0;
  int most_turns_without_tick = 0;
  TestPeer* receiver = nullptr;
  TestPeer second(
      kSecond, kSecondAddress,
      [&](PeerNetwork&, const HostName&, const control::PeerMessage&) {
        const auto start = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - start < kTurn) {
        }
        turns_without_tick =
            receiver->Ticks() == ticks_seen ? turns_without_tick + 1 : 0;
        ticks_seen = receiver->Ticks();
        most_turns_without_tick =
            std::max(most_turns_without_tick, turns_without_tick);
        handled += 1;
        if (handled == kMessages) {
          done.set_value();
        }
      });
  receiver = &second;
  TestPeer first(
      kFirst, kFirstAddress,
      [](PeerNetwork&, const HostName&, const control::PeerMessage&) {});
  first.Network().Post([&] {
    first.Network().SetHosts({RecordOf(kSecond, kSecondAddress)});
    for (int i = 0; i < kMessages; ++i) {
      first.Network().Send(kSecond, control::ProbeRequest{1});
    }
  });
  ASSERT_EQ(done.get_future().wait_for(kLong), std::future_status::ready);
  EXPECT_LE(most_turns_without_tick, kMaxTurnsWithoutTick);
}

}  // namespace
}  // namespace tamarackwing::hosts
