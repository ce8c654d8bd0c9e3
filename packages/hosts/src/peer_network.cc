#include "tamarackwing/hosts/peer_network.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize.h>
#include <kj/async-io.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "peer.capnp.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/control/channel.h"
#include "tamarackwing/control/message_kind.h"
#include "tamarackwing/hosts/peer_handler.h"
#include "wire_codec.h"

namespace tamarackwing::hosts {
namespace {

//! Limit, in words of 8 bytes, of the size of one received message and of the
//! data that reading it may traverse.
constexpr std::uint64_t kMaxMessageWords = 64ULL * 1024 * 1024;
//! Number of events after which a busy event loop looks for new I/O and due
//! timers. Without it, timers run only once no event is ready.
constexpr unsigned kEventsPerPoll = 1'024;
//! Pause after a connection could not be accepted, for example for want of
//! descriptors, which others may have returned by then.
constexpr std::chrono::milliseconds kAcceptRetryInterval{100};

capnp::ReaderOptions MakeReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

kj::Duration ToKj(std::chrono::milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

using control::Channel;

//! A connection to another host, open or not.
struct LinkName {
  HostName host;
  Channel channel = Channel::kMain;
};

std::string MillisecondsText(Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

//! Passes the messages of one host to the handler and drops those that cannot
//! be decoded.
class SessionServer final : public wire::Session::Server {
 public:
  SessionServer(HostName from, PeerHandler& handler)
      : from(std::move(from)), handler(handler) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    auto message = ReadMessage(context.getParams().getMessage());
    if (message) {
      this->handler.HandleMessage(this->from, std::move(*message));
    } else {
      LogEvent(Event::kPeerMessageRejected, LogLevel::kWarning,
               {{"peer", this->from.Text()}});
    }
    return kj::READY_NOW;
  }

 private:
  HostName from;
  PeerHandler& handler;
};

//! A stream that records when bytes arrive and when the other side makes room
//! for more, also within one large message.
class WatchedStream final : public kj::AsyncIoStream {
 public:
  explicit WatchedStream(kj::Own<kj::AsyncIoStream> inner)
      : inner(kj::mv(inner)) {}

  //! Returns when bytes last arrived; TimePoint() if none have.
  TimePoint LastRead() const { return this->last_read; }
  //! Returns when a write that had waited for room last went on; TimePoint() if
  //! none has. That bytes were taken without a wait does not show that the
  //! other side is alive.
  TimePoint LastRoom() const { return this->last_room; }

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return this->ReadOn(static_cast<kj::byte*>(buffer), min_bytes, max_bytes,
                        0);
  }

  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    const std::size_t part = std::min(size, kMaxWriteBytes);
    const TimePoint begun = std::chrono::steady_clock::now();
    return this->inner->write(buffer, part)
        .then([this, buffer, size, part, begun]() -> kj::Promise<void> {
          const TimePoint now = std::chrono::steady_clock::now();
          if (now - begun >= kWaitedForRoom) {
            this->last_room = now;
          }
          if (part == size) {
            return kj::READY_NOW;
          }
          return this->write(static_cast<const kj::byte*>(buffer) + part,
                             size - part);
        });
  }

  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::size_t size = 0;
    for (const auto& piece : pieces) {
      size += piece.size();
    }
    if (size <= kMaxWriteBytes) {
      return this->inner->write(pieces);
    }
    const auto& first = pieces.front();
    return this->write(first.begin(), first.size())
        .then([this, rest = pieces.slice(1, pieces.size())]() {
          return this->write(rest);
        });
  }

  kj::Promise<void> whenWriteDisconnected() override {
    return this->inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

 private:
  //! Reads until `min_bytes` have arrived, of which `count` have before.
  kj::Promise<std::size_t> ReadOn(kj::byte* buffer,
                                  std::size_t min_bytes,
                                  std::size_t max_bytes,
                                  std::size_t count) {
    return this->inner->tryRead(buffer + count, 1, max_bytes - count)
        .then([this, buffer, min_bytes, max_bytes,
               count](std::size_t next) -> kj::Promise<std::size_t> {
          if (next > 0) {
            this->last_read = std::chrono::steady_clock::now();
          }
          const std::size_t all = count + next;
          if (next == 0 || all >= min_bytes) {
            return all;
          }
          return this->ReadOn(buffer, min_bytes, max_bytes, all);
        });
  }

  //! Bytes of a large message that are written at once.
  static constexpr std::size_t kMaxWriteBytes = 16 * 1024;
  //! Shorter writes did not wait.
  static constexpr std::chrono::milliseconds kWaitedForRoom{1};

  kj::Own<kj::AsyncIoStream> inner;
  TimePoint last_read;
  TimePoint last_room;
};

//! Who opened a connection, and where that host accepts connections.
struct Hello {
  LinkName link;
  std::string address;
  std::uint16_t port = 0;
};

//! Opens sessions for hosts that present the cluster's secret.
class EntryServer final : public wire::Entry::Server {
 public:
  EntryServer(const std::string& secret,
              PeerHandler& handler,
              std::function<void(const Hello&)> learn)
      : secret(secret), handler(handler), learn(std::move(learn)) {}

  kj::Promise<void> hello(HelloContext context) override {
    const auto params = context.getParams();
    const std::string given(params.getSecret().cStr());
    KJ_REQUIRE(EqualInConstantTime(given, this->secret), "unknown host");
    const HostName host(params.getHost().cStr());
    this->learn({{host, static_cast<Channel>(params.getChannel())},
                 params.getAddress().cStr(),
                 params.getPort()});
    context.getResults().setSession(
        kj::heap<SessionServer>(host, this->handler));
    return kj::READY_NOW;
  }

 private:
  const std::string& secret;
  PeerHandler& handler;
  std::function<void(const Hello&)> learn;
};

//! The RPC server side of a connection accepted from a peer.
struct IncomingConnection {
  IncomingConnection(kj::Own<kj::AsyncIoStream> given,
                     wire::Entry::Client entry)
      : stream(kj::mv(given)),
        network(stream,
                capnp::rpc::twoparty::Side::SERVER,
                MakeReaderOptions()),
        rpc(capnp::makeRpcServer(network, kj::mv(entry))) {}

  WatchedStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

//! The RPC client side of a connection opened to a peer.
struct OutgoingConnection {
  OutgoingConnection(kj::Own<kj::AsyncIoStream> given,
                     const NetworkOptions& options,
                     Channel channel)
      : stream(kj::mv(given)),
        client(stream),
        session(OpenSession(client, options, channel)),
        opened(std::chrono::steady_clock::now()),
        last_reply(opened) {}

  static wire::Session::Client OpenSession(capnp::TwoPartyClient& client,
                                           const NetworkOptions& options,
                                           Channel channel) {
    auto request = client.bootstrap().castAs<wire::Entry>().helloRequest();
    request.setHost(options.self.Text().c_str());
    request.setSecret(options.secret.c_str());
    request.setAddress(options.address.c_str());
    request.setPort(options.port);
    request.setChannel(static_cast<std::uint8_t>(channel));
    return request.send().getSession();
  }

  //! Returns whether calls wait for a reply, and the other side has shown no
  //! sign of life since `since`.
  bool IsSilentSince(TimePoint since) const {
    return this->pending_calls > 0 && this->waiting_since <= since &&
           this->last_reply <= since && this->stream.LastRoom() <= since;
  }

  WatchedStream stream;
  capnp::TwoPartyClient client;
  wire::Session::Client session;
  //! Number of calls without a reply, by kind of message.
  std::map<std::string_view, std::size_t> pending_kinds;
  std::size_t pending_calls = 0;
  std::uint64_t pending_bytes = 0;
  TimePoint opened;
  TimePoint last_reply;
  //! Since when there have been calls without a reply.
  TimePoint waiting_since;
};

}  // namespace

struct PeerNetwork::State final : public kj::TaskSet::ErrorHandler {
  State(NetworkOptions given, PeerHandler& handler)
      : options(std::move(given)),
        handler(handler),
        io(kj::setupAsyncIo()),
        tasks(*this) {
    this->io.waitScope.setBusyPollInterval(kEventsPerPoll);
  }

  struct Link {
    kj::Own<OutgoingConnection> connection;
    bool connecting = false;
    TimePoint retry_at;
    std::deque<control::PeerMessage> queued;
    //! Incremented when the connection is opened or closed, so that results of
    //! calls on an earlier connection are ignored.
    std::uint64_t generation = 0;
  };

  //! Another host and the connections to it.
  struct Peer {
    Link& To(Channel channel) {
      return this->links.at(static_cast<std::size_t>(channel));
    }

    std::string address;
    std::uint16_t port = 0;
    //! Empty until SetHosts gives it.
    RegionName region;
    //! Whether it takes part in the agreed log.
    bool has_log = false;
    std::array<Link, control::kChannels> links;
  };

  //! A connection that another host has opened.
  struct Incoming {
    //! The host is empty until it has said its name.
    LinkName link;
    const WatchedStream* stream = nullptr;
  };

  void taskFailed(kj::Exception&&) override {}

  kj::Promise<void> Accept(kj::Own<kj::ConnectionReceiver> receiver) {
    auto& listener = *receiver;
    return listener.accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          const std::uint64_t number = ++this->accepted;
          auto accepted = kj::heap<IncomingConnection>(
              kj::mv(stream),
              kj::heap<EntryServer>(this->options.secret, this->handler,
                                    [this, number](const Hello& hello) {
                                      this->Learn(hello);
                                      this->incoming[number].link = hello.link;
                                    }));
          this->incoming[number].stream = &accepted->stream;
          auto ended = accepted->network.onDisconnect();
          this->tasks.add(
              ended.attach(kj::mv(accepted)).attach(kj::defer([this, number]() {
                this->incoming.erase(number);
              })));
        })
        .catch_([this](kj::Exception&& exception) {
          LogEvent(Event::kPeerNotAccepted, LogLevel::kWarning,
                   {{"reason", exception.getDescription().cStr()}});
          return this->io.provider->getTimer().afterDelay(
              ToKj(kAcceptRetryInterval));
        })
        .then([this, receiver = kj::mv(receiver)]() mutable {
          return this->Accept(kj::mv(receiver));
        });
  }

  //! Keeps the address of a host that SetHosts has not given, so that it gets
  //! replies. A host that has lost its disk knows only its seeds.
  void Learn(const Hello& hello) {
    if (hello.address.empty() || hello.link.host == this->options.self) {
      return;
    }
    Peer& peer = this->peers[hello.link.host];
    if (peer.address.empty()) {
      peer.address = hello.address;
      peer.port = hello.port;
    }
  }

  //! Returns null if the host is unknown.
  Link* Find(const LinkName& name) {
    const auto found = this->peers.find(name.host);
    return found == this->peers.end() ? nullptr
                                      : &found->second.To(name.channel);
  }

  //! Starts connecting to a host, at most once per reconnect interval.
  void Connect(const LinkName& name, Peer& peer) {
    const TimePoint now = std::chrono::steady_clock::now();
    Link& link = peer.To(name.channel);
    if (link.connecting || now < link.retry_at || peer.address.empty()) {
      return;
    }
    link.connecting = true;
    link.retry_at = now + this->options.reconnect_interval;
    auto connected = this->io.provider->getNetwork()
                         .parseAddress(peer.address.c_str(), peer.port)
                         .then([](kj::Own<kj::NetworkAddress> address) {
                           auto& target = *address;
                           return target.connect().attach(kj::mv(address));
                         });
    auto timed = this->io.provider->getTimer().timeoutAfter(
        ToKj(this->options.call_timeout), kj::mv(connected));
    this->tasks.add(timed.then(
        [this, name](kj::Own<kj::AsyncIoStream> stream) {
          this->FinishConnect(name, kj::mv(stream));
        },
        [this, name](kj::Exception&&) { this->Drop(name); }));
  }

  void FinishConnect(const LinkName& name, kj::Own<kj::AsyncIoStream> stream) {
    const auto found = this->peers.find(name.host);
    if (found == this->peers.end()) {
      return;
    }
    Link& link = found->second.To(name.channel);
    link.connecting = false;
    link.generation += 1;
    link.connection = kj::heap<OutgoingConnection>(kj::mv(stream),
                                                   this->options, name.channel);
    LogEvent(Event::kPeerConnected, LogLevel::kInfo,
             {{"peer", name.host.Text()},
              {"channel", std::string(control::ChannelName(name.channel))}});
    std::deque<control::PeerMessage> queued;
    queued.swap(link.queued);
    for (const control::PeerMessage& message : queued) {
      this->Call(name, found->second, message);
    }
  }

  //! Sends a message over the open connection. Drops it if too many calls are
  //! in flight. Precondition: the peer is connected.
  void Call(const LinkName& name,
            Peer& peer,
            const control::PeerMessage& message) {
    Link& link = peer.To(name.channel);
    OutgoingConnection& connection = *link.connection;
    const std::string_view kind = control::MessageKind(message);
    std::size_t& pending_of_kind = connection.pending_kinds[kind];
    const bool is_behind = pending_of_kind > 0 && control::IsRepeated(message);
    if (is_behind || connection.pending_calls >= this->options.max_pending) {
      return;
    }
    auto request = connection.session.deliverRequest();
    WriteMessage(message, request.initMessage());
    const std::uint64_t bytes =
        request.totalSize().wordCount * sizeof(capnp::word);
    this->sent_bytes.fetch_add(bytes);
    const bool crosses_regions =
        !peer.region.IsEmpty() && peer.region != this->options.region;
    SentTraffic& traffic = this->sent[{kind, crosses_regions}];
    traffic.messages += 1;
    traffic.bytes += bytes;
    const TimePoint begun = std::chrono::steady_clock::now();
    if (connection.pending_calls == 0) {
      connection.waiting_since = begun;
    }
    pending_of_kind += 1;
    connection.pending_calls += 1;
    connection.pending_bytes += bytes;
    const std::uint64_t generation = link.generation;
    auto reply = request.send().ignoreResult();
    this->tasks.add(reply.then(
        [this, name, generation, kind, bytes, begun]() {
          this->NoteReply(name, generation, kind, bytes);
          if (name.channel == Channel::kLog) {
            this->slowest_log_call =
                std::max<Duration>(this->slowest_log_call,
                                   std::chrono::steady_clock::now() - begun);
          }
        },
        [this, name, generation](kj::Exception&&) {
          const Link* current = this->Find(name);
          if (current != nullptr && current->generation == generation) {
            this->Drop(name);
          }
        }));
  }

  void NoteReply(const LinkName& name,
                 std::uint64_t generation,
                 std::string_view kind,
                 std::uint64_t bytes) {
    Link* link = this->Find(name);
    const bool is_current = link != nullptr && link->generation == generation &&
                            link->connection.get() != nullptr;
    if (is_current) {
      OutgoingConnection& connection = *link->connection;
      connection.pending_kinds[kind] -= 1;
      connection.pending_calls -= 1;
      connection.pending_bytes -= bytes;
      connection.last_reply = std::chrono::steady_clock::now();
    }
  }

  static void LogLost(const LinkName& name,
                      const OutgoingConnection& connection) {
    const TimePoint now = std::chrono::steady_clock::now();
    LogEvent(Event::kPeerLost, LogLevel::kInfo,
             {{"peer", name.host.Text()},
              {"channel", std::string(control::ChannelName(name.channel))},
              {"calls", std::to_string(connection.pending_calls)},
              {"bytes", std::to_string(connection.pending_bytes)},
              {"reply_ms", MillisecondsText(now - connection.last_reply)},
              {"open_ms", MillisecondsText(now - connection.opened)}});
  }

  //! Closes the connections that have been silent for too long: a peer that
  //! stops responding may never close its connection.
  void DropSilent(std::chrono::milliseconds interval) {
    const TimePoint now = std::chrono::steady_clock::now();
    const Duration pause = now - std::exchange(this->ticked, now);
    if (pause > interval + this->options.call_timeout / 2) {
      // Replies that arrived meanwhile have not been read yet.
      return;
    }
    const TimePoint since = now - this->options.call_timeout;
    for (auto& [host, peer] : this->peers) {
      for (const Channel channel : control::kAllChannels) {
        const Link& link = peer.To(channel);
        if (link.connection.get() != nullptr &&
            link.connection->IsSilentSince(since)) {
          this->Drop({host, channel});
        }
      }
    }
  }

  //! Closes a connection to a host and discards its queued messages.
  void Drop(const LinkName& name) {
    Link* link = this->Find(name);
    if (link == nullptr) {
      return;
    }
    if (link->connection.get() != nullptr) {
      LogLost(name, *link->connection);
      // This may run in a callback of the connection, so the connection is
      // destroyed in a later turn of the event loop.
      this->tasks.add(kj::evalLater(
          [old = kj::mv(link->connection)]() mutable { old = nullptr; }));
    }
    link->connection = nullptr;
    link->connecting = false;
    link->generation += 1;
    link->queued.clear();
  }

  kj::Promise<void> RunPostedTasks() {
    auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      const std::lock_guard lock(this->mutex);
      this->wake = kj::mv(paf.fulfiller);
      if (!this->posted.empty()) {
        this->wake->fulfill();
      }
    }
    return paf.promise.then([this]() {
      std::deque<std::function<void()>> due;
      {
        const std::lock_guard lock(this->mutex);
        due.swap(this->posted);
      }
      for (const std::function<void()>& task : due) {
        task();
      }
      return this->RunPostedTasks();
    });
  }

  kj::Promise<void> RunTicks(std::chrono::milliseconds interval,
                             const std::function<void()>& tick) {
    return this->io.provider->getTimer()
        .afterDelay(ToKj(interval))
        .then([this, interval, &tick]() -> kj::Promise<void> {
          this->DropSilent(interval);
          tick();
          if (this->stopping.load()) {
            return kj::READY_NOW;
          }
          return this->RunTicks(interval, tick);
        });
  }

  NetworkOptions options;
  PeerHandler& handler;
  kj::AsyncIoContext io;
  std::map<HostName, Peer> peers;
  //! By the order in which they were accepted.
  std::map<std::uint64_t, Incoming> incoming;
  std::uint64_t accepted = 0;
  //! When connections were last checked for silence.
  TimePoint ticked;
  std::mutex mutex;
  std::deque<std::function<void()>> posted;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::map<TrafficKind, SentTraffic> sent;
  Duration slowest_log_call{0};
  kj::TaskSet tasks;
};

PeerNetwork::PeerNetwork(NetworkOptions options, PeerHandler& handler)
    : state(std::make_unique<State>(std::move(options), handler)) {}

PeerNetwork::~PeerNetwork() = default;

Expected<void, NetworkError> PeerNetwork::Listen() {
  State& network = *this->state;
  try {
    auto address =
        network.io.provider->getNetwork()
            .parseAddress(network.options.address.c_str(), network.options.port)
            .wait(network.io.waitScope);
    network.tasks.add(network.Accept(address->listen()));
  } catch (const kj::Exception&) {
    return unexpected(NetworkError::kCannotListen);
  }
  return {};
}

void PeerNetwork::SetHosts(const std::vector<state::HostRecord>& hosts) {
  for (const state::HostRecord& host : hosts) {
    if (host.name == this->state->options.self) {
      continue;
    }
    State::Peer& peer = this->state->peers[host.name];
    peer.region = host.region;
    peer.has_log = host.has_disk;
    const bool address_changed =
        peer.address != host.peer_address || peer.port != host.peer_port;
    if (address_changed) {
      peer.address = host.peer_address;
      peer.port = host.peer_port;
      for (const Channel channel : control::kAllChannels) {
        this->state->Drop({host.name, channel});
      }
    }
  }
}

void PeerNetwork::Send(const HostName& to,
                       const control::PeerMessage& message) {
  const auto found = this->state->peers.find(to);
  if (found == this->state->peers.end()) {
    return;
  }
  State::Peer& peer = found->second;
  const LinkName name{to, control::ChannelOf(message)};
  const LinkName log_link{to, Channel::kLog};
  const bool opens_log = this->state->options.has_log && peer.has_log &&
                         peer.To(Channel::kLog).connection.get() == nullptr;
  if (opens_log) {
    // The first request for a vote need not wait for it.
    this->state->Connect(log_link, peer);
  }
  State::Link& link = peer.To(name.channel);
  if (link.connection.get() != nullptr) {
    this->state->Call(name, peer, message);
    return;
  }
  if (control::IsRepeated(message)) {
    // Only the newest of them is of use once the connection is open.
    const std::string_view kind = control::MessageKind(message);
    std::erase_if(link.queued, [&](const control::PeerMessage& queued) {
      return control::IsRepeated(queued) &&
             control::MessageKind(queued) == kind;
    });
  }
  if (link.queued.size() < this->state->options.max_pending) {
    link.queued.push_back(message);
  }
  this->state->Connect(name, peer);
}

bool PeerNetwork::IsBehind(const HostName& host, std::string_view kind) const {
  const auto found = this->state->peers.find(host);
  if (found == this->state->peers.end()) {
    return false;
  }
  for (const State::Link& link : found->second.links) {
    const bool is_queued =
        std::any_of(link.queued.begin(), link.queued.end(),
                    [&](const control::PeerMessage& message) {
                      return control::MessageKind(message) == kind;
                    });
    if (is_queued) {
      return true;
    }
    if (link.connection.get() != nullptr) {
      const auto pending = link.connection->pending_kinds.find(kind);
      if (pending != link.connection->pending_kinds.end() &&
          pending->second > 0) {
        return true;
      }
    }
  }
  return false;
}

void PeerNetwork::Run(std::chrono::milliseconds interval,
                      const std::function<void()>& tick) {
  auto posted = this->state->RunPostedTasks().eagerlyEvaluate(
      [](kj::Exception&& exception) {
        kj::throwFatalException(kj::mv(exception));
      });
  this->state->RunTicks(interval, tick).wait(this->state->io.waitScope);
}

void PeerNetwork::Post(std::function<void()> task) {
  const std::lock_guard lock(this->state->mutex);
  this->state->posted.push_back(std::move(task));
  if (this->state->wake.get() != nullptr) {
    this->state->wake->fulfill();
  }
}

void PeerNetwork::Stop() {
  this->state->stopping.store(true);
}

std::optional<Duration> PeerNetwork::SilenceOf(const HostName& host) const {
  std::optional<Duration> silence;
  const TimePoint now = std::chrono::steady_clock::now();
  for (const auto& [number, connection] : this->state->incoming) {
    const bool is_main = connection.link.channel == Channel::kMain;
    if (is_main && connection.link.host == host) {
      const Duration age = now - connection.stream->LastRead();
      silence = silence ? std::min(*silence, age) : age;
    }
  }
  return silence;
}

std::uint64_t PeerNetwork::SentBytes() const {
  return this->state->sent_bytes.load();
}

const std::map<TrafficKind, SentTraffic>& PeerNetwork::Sent() const {
  return this->state->sent;
}

SentTraffic PeerNetwork::Unanswered() const {
  SentTraffic unanswered;
  for (const auto& [name, peer] : this->state->peers) {
    for (const State::Link& link : peer.links) {
      if (link.connection.get() != nullptr) {
        unanswered.messages += link.connection->pending_calls;
        unanswered.bytes += link.connection->pending_bytes;
      }
    }
  }
  return unanswered;
}

Duration PeerNetwork::TakeSlowestLogCall() {
  return std::exchange(this->state->slowest_log_call, Duration(0));
}

}  // namespace tamarackwing::hosts
