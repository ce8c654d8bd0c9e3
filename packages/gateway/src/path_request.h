#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "answer_reader.h"
#include "event_splitter.h"
#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/base/trace_context.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/policy/crash_messages.h"
#include "tamarackwing/policy/try_plan.h"

namespace tamarackwing::gateway {

//! One call on a path route, from its parsed head to the response or refusal.
//! Thread safety: used only from its traffic thread.
class PathRequest : public std::enable_shared_from_this<PathRequest> {
 public:
  PathRequest(PathGateway& gateway,
              PathCall call,
              std::optional<ForwardedCall> forwarded,
              http::ResponseWriter& writer,
              http::asio::any_io_executor executor);
  ~PathRequest();

  //! Serves the call and writes the response or a refusal to the writer.
  http::asio::awaitable<void> Run();

 private:
  //! The refusal that ends the call, or nothing.
  using Outcome = std::optional<Refusal>;
  static std::chrono::milliseconds CeilMs(Duration time) {
    return std::chrono::ceil<std::chrono::milliseconds>(time);
  }
  //! How much of a try's response had arrived when the try ended.
  enum class AnswerStage { kNone, kHead, kBody };
  static std::string_view StageName(AnswerStage stage);
  //! Destination of one try: a backend server of this region or another entry
  //! host.
  struct Target {
    std::optional<policy::ServerChoice> server;
    std::optional<ForwardTarget> host;
    http::Endpoint endpoint;
  };

  http::asio::awaitable<Outcome> Serve();
  Outcome FindRoute();
  Outcome Authorize();
  //! For a call that goes on with a stream: finds where the stream began, or
  //! refuses the call if that is unknown.
  http::asio::awaitable<Outcome> FindOrigin();
  //! Chooses the service at which the stream began, if the call goes on with
  //! one, or one of the route's services by their weights.
  void ChooseService();
  //! Records where the stream began, with its first event and at intervals
  //! while it goes on.
  void NoteEvents(const Target& target);
  bool MayRunIn(const RegionName& region) const;
  http::asio::awaitable<Outcome> ReserveTokens();
  http::asio::awaitable<Outcome> TryAll();
  //! Refuses the call if it, or a block of its prompt, is quarantined.
  Outcome CheckQuarantine();
  //! Reports to the quarantine what the end of a try at a server shows about
  //! the call and its blocks.
  void NoteContents(const Target& target, policy::TryOutcome try_outcome);
  //! Chooses a server of this region, or a host of another region for spillover
  //! or as a fallback. Returns nothing if there is none or the call was shed.
  std::optional<Target> PickTarget();
  //! Returns the best host of another region that may serve this call and has
  //! not been tried.
  std::optional<ForwardTarget> BestCandidate();
  //! Moves the hosts of the region where the call's stream began to the front.
  void PreferOrigin(std::vector<ForwardTarget>& targets) const;
  //! Chooses where to send the call while this host's links to the servers are
  //! down: to a host of this region that reaches them, to another region, or to
  //! a server to which a connection may still be open.
  std::optional<Target> PickDetour(bool may_run_here);
  //! Returns a host of this region that reaches servers and has not been tried.
  std::optional<ForwardTarget> PickNeighbour();
  //! Chooses a server of this region, unless there is none or the call was
  //! shed.
  std::optional<Target> PickServer();
  //! Records that a host is tried, and returns it as a target.
  Target ForwardTo(ForwardTarget host);
  //! Returns a host of another region if no server of this region can be used.
  std::optional<ForwardTarget> PickHost();
  //! Returns a host of another region if it is expected to serve this call
  //! enough earlier than this region to make up for the network latency.
  std::optional<ForwardTarget> PickSpill();
  //! Returns a host of the region to which the region's plan moves this call;
  //! used instead of the expected waits if SchedulingSettings::spill_ahead.
  std::optional<ForwardTarget> PickPlanned();
  //! Returns whether spill plans are made for calls like this one.
  bool IsPlanned() const;
  //! Returns whether the call may run in another region, close enough for the
  //! call's latency target.
  bool MayMoveTo(const PlannedRegion& region) const;
  //! Returns the prompt tokens that no other call shares. Precondition: the
  //! call has a prompt.
  TokenCount OwnTokens() const;
  //! Returns whether the call counts as work that this region's callers offer.
  bool IsOfferedHere() const;
  //! Adds the call to the work that is offered, unless it counts elsewhere.
  void NoteOffered();
  //! Records the times of a finished stream whose first output in this try
  //! arrived at `first_output`.
  void NoteServed(const Target& target, TimePoint first_output);
  //! Returns whether a host is a live entry host that is not draining and has
  //! not been tried.
  bool MayForwardTo(const HostName& name) const;
  //! Returns whether to admit the call given its expected wait for a slot. If
  //! not, marks it as shed, sets `retry_after` and logs an event.
  bool TryAdmit(Duration wait);
  //! As above, for the call's times at a server.
  bool TryAdmit(const policy::ServerChoice& server);
  //! Returns whether the call may be refused for the sake of others.
  bool MayShed() const;
  //! Marks the call as shed and sets `retry_after`; logs an event.
  void Shed(Duration wait);
  //! Returns the strictest latency target of the service's streams.
  std::chrono::milliseconds LatencyTarget() const;
  //! Returns whether the prompt's prefill makes other streams pause for a good
  //! part of what their callers allow. Precondition: the call has a prompt.
  bool IsLongPrompt() const;
  policy::ServerQuery Query() const;

  http::asio::awaitable<policy::TryOutcome> Try(const Target& target);
  http::asio::awaitable<policy::TryOutcome> ReadResponse(
      const Target& target,
      backend_servers::PooledConnection& pooled);
  //! Passes on to the server directory what a server's response says of the
  //! server.
  void NoteStatement(const policy::ServerChoice& server,
                     const policy::ServerStatement& statement);
  //! Reads the body of a response to its end. Returns nothing on a connection
  //! error or if the body is too large, and sets `signal` accordingly.
  http::asio::awaitable<std::optional<http::Response>> ReadFullResponse(
      const Target& target,
      http::Connection& connection,
      http::ResponseHead head);
  ConnectionCheck CheckOf(const Target& target);
  //! Records how the body of an answer ended, if it has.
  void NoteEnd(const http::Connection& connection, AnswerEnd end);
  //! Reads a complete response into `held_response`.
  http::asio::awaitable<policy::TryOutcome> BufferResponse(
      const Target& target,
      http::Connection& connection,
      http::ResponseHead head);
  //! Relays complete server-sent events to the caller as they arrive.
  http::asio::awaitable<policy::TryOutcome> RelayStream(
      const Target& target,
      http::Connection& connection,
      const http::ResponseHead& head);
  http::asio::awaitable<bool> WriteEvents(const Target& target,
                                          const http::ResponseHead& head,
                                          const std::string& events);
  http::Request MakeRequest(const Target& target) const;
  //! Returns the priority that the server is told; zero is the highest.
  std::optional<std::uint32_t> Urgency() const;
  //! Returns when to stop waiting for the first byte of a response.
  TimePoint FirstByteDeadline() const;

  //! Returns whether the call may run more than once.
  bool IsRepeatable() const;
  bool IsPastDeadline() const;
  std::chrono::milliseconds TimeLeft() const;
  //! Returns the refusal for a call that is not tried again. The refusal states
  //! whether the call may have run.
  Refusal StopRefusal(RefusalCode code) const;
  void Finish(const Outcome& refusal);
  //! Sets `signal` according to a connection error and returns kLost.
  policy::TryOutcome HandleConnectionError(http::ConnectionError error);
  //! Records that bytes arrived from a server.
  void NoteAlive(const BackendServerName& server);
  //! Records how late the server's first output was.
  void NoteFirstDelay(const Target& target);
  //! Records how long the server's stream was silent before the events that
  //! have arrived. `event_before` is the last event before them, `waited_since`
  //! when this host began to wait for them.
  void NotePause(const Target& target,
                 std::string_view events,
                 std::optional<std::uint64_t> event_before,
                 TimePoint waited_since);
  //! Records the call and its blocks as sound if the answer, whose body began
  //! at `started`, has gone on for long enough.
  void NoteLongAnswer(const Target& target, TimePoint started);
  //! Records the arrival time of response bytes.
  void NoteBytes();
  //! Subtracts this call's prompt from the server's pending prefill, once the
  //! first byte arrived or the try ended.
  void NotePrefillDone(const Target& target);
  void LogTry(const Target& target, policy::TryOutcome try_outcome) const;
  //! Logs that a write to the caller failed, unless the caller has left.
  void NoteWritten(bool is_written) const;
  //! Logs that the caller's connection closes without a complete answer.
  void LogCut(const std::string& cause) const;

  PathGateway& gateway;
  PathCall call;
  std::optional<ForwardedCall> forwarded;
  http::ResponseWriter& writer;
  http::asio::any_io_executor executor;

  std::shared_ptr<const state::Snapshot> snapshot;
  //! Time from the last leader contact to the arrival of the call; negative if
  //! there has been none.
  std::chrono::milliseconds leader_contact_age{-1};
  const state::PathRoute* route = nullptr;
  std::string service;
  Grant grant;
  //! See DigestContent.
  std::uint64_t content = 0;
  //! What may crash servers: the whole content and the prompt's shared blocks.
  std::vector<policy::BlockDigest> held;
  //! Tokens reserved from the workspace's budget; zero if it has no limit or
  //! the call was forwarded.
  TokenCount tokens = 0;
  std::uint64_t reservation = 0;
  TimePoint started;
  std::chrono::system_clock::time_point started_at;
  TimePoint deadline;
  TraceContext trace;

  std::optional<policy::TryPlan> plan;
  std::set<BackendServerName> tried;
  std::set<HostName> tried_hosts;
  std::chrono::milliseconds retry_after{0};
  //! Whether a server was available, but the call was shed because of the wait.
  bool shed = false;
  //! The last complete response of a server, held until it is known whether it
  //! is passed on to the caller.
  std::optional<http::Response> held_response;
  EventSplitter events;
  std::optional<std::uint64_t> last_event;
  //! Whether the caller has got an event, in this response or before.
  bool has_begun = false;
  //! Where the stream began; if unknown, a stream that has begun is not
  //! resumed.
  std::optional<policy::StreamOrigin> origin;
  //! Identifies the stream (see DigestStream); nullopt if it is unknown which
  //! one the call goes on with.
  std::optional<std::uint64_t> stream;
  //! When the stream's origin was last recorded.
  std::optional<TimePoint> origin_noted;
  //! Where the stream begins if the other host's response is passed on.
  std::optional<policy::StreamOrigin> forwarded_origin;
  std::string peer;
  //! Software version of the server of the last try; empty if the try went to
  //! another host.
  std::string software;
  //! When the last try began.
  TimePoint try_started;
  AnswerStage answer_stage = AnswerStage::kNone;
  //! How the body of the last try's answer ended, and how it was framed.
  AnswerEnd answer_end = AnswerEnd::kOpen;
  http::BodyFraming answer_framing = http::BodyFraming::kLength;
  //! Whether the last try ended because its connection broke.
  bool connection_broke = false;
  //! Whether the last try's response had a status that is none.
  bool has_invalid_status = false;
  //! Whether the call may be sent to one server of this region only.
  bool is_trial = false;
  //! Whether the current try has shown that the call and its blocks are sound.
  bool is_sound = false;
  //! What the last try shows about its server's health.
  policy::HealthSignal signal = policy::HealthSignal::kInconclusive;
  //! When the connection of the current try was opened, by the clock of the
  //! server directory.
  TimePoint connection_opened;
  //! When the last try began, by the clock of the server directory.
  TimePoint sent_at;
  //! Prompt tokens of the current try whose prefill has not finished.
  TokenCount pending_prefill = 0;

  //! When the first byte and the most recent byte of the response arrived.
  std::optional<TimePoint> first_byte_at;
  TimePoint last_byte_at;
  //! The longest time between two consecutive pieces of the response.
  Duration longest_gap{};
  //! Requests of this host in progress at the last server when it was chosen.
  std::uint32_t server_load = 0;
  //! Expected wait for a slot at the last server.
  Duration slot_wait{};
  //! Expected time until the first byte of the last server's response, or until
  //! that of another region's.
  Duration expected_first_byte{};

  bool caller_gone = false;
  http::Connection* current_connection = nullptr;
};

}  // namespace tamarackwing::gateway
