#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "event_splitter.h"
#include "tamarackwing/backend_servers/connection_pool.h"
#include "tamarackwing/base/trace_context.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/policy/try_plan.h"

namespace tamarackwing::gateway {

//! One path call from its head to its answer.
//! Thread safety: only from its traffic thread.
class PathRequest : public std::enable_shared_from_this<PathRequest> {
 public:
  PathRequest(PathGateway& gateway,
              PathCall call,
              std::optional<ForwardedCall> forwarded,
              http::ResponseWriter& writer,
              http::asio::any_io_executor executor);
  ~PathRequest();

  //! Serves the call: an answer or a refusal goes to the writer.
  http::asio::awaitable<void> Run();

 private:
  using Outcome = std::optional<Refusal>;
  static std::chrono::milliseconds CeilMs(Duration time) {
    return std::chrono::ceil<std::chrono::milliseconds>(time);
  }
  //! Where one try goes: a server of this region, or a host of another.
  struct Target {
    std::optional<policy::ServerChoice> server;
    std::optional<ForwardTarget> host;
    http::Endpoint endpoint;
  };

  http::asio::awaitable<Outcome> Serve();
  Outcome FindRoute();
  Outcome Authorize();
  void ChooseService();
  bool MayRunIn(const RegionName& region) const;
  http::asio::awaitable<Outcome> ReserveTokens();
  http::asio::awaitable<Outcome> TryAll();
  std::optional<Target> PickTarget();
  //! The host of another region that waits least and may serve this call.
  std::optional<ForwardTarget> BestCandidate();
  std::optional<ForwardTarget> PickHost();
  //! The host of another region that would serve this call so much sooner that
  //! the way there is worth it.
  std::optional<ForwardTarget> PickSpill();
  //! Whether a host takes calls and has not been tried.
  bool MayForwardTo(const HostName& name) const;
  //! Whether the wait for a slot of this call's service is worth it; notes when
  //! a new try may succeed where it is not.
  bool IsWorth(Duration wait);
  TokenCount PromptTokens() const;
  policy::ServerQuery Query() const;
  std::uint32_t ColdAllowance(const BackendServerName& server,
                              std::uint32_t per_kilosecond) const;

  http::asio::awaitable<policy::TryOutcome> Try(const Target& target);
  http::asio::awaitable<policy::TryOutcome> ReadResponse(
      const Target& target,
      http::Connection& connection);
  //! An answer to its end; nothing where the connection's error, of which the
  //! sign is taken, cuts it.
  http::asio::awaitable<std::optional<http::Response>> ReadWhole(
      http::Connection& connection,
      http::ResponseHead head);
  http::asio::awaitable<policy::TryOutcome> KeepWhole(
      http::Connection& connection,
      http::ResponseHead head);
  http::asio::awaitable<policy::TryOutcome> PassStream(
      const Target& target,
      http::Connection& connection,
      const http::ResponseHead& head);
  http::asio::awaitable<bool> WriteEvents(const http::ResponseHead& head,
                                          const std::string& events);
  http::Request MakeSend(const Target& target) const;
  //! When the first byte of an answer is given up.
  TimePoint FirstByteDeadline() const;

  bool IsRepeatable() const;
  bool IsOver() const;
  std::chrono::milliseconds TimeLeft() const;
  Refusal StopRefusal(RefusalCode code) const;
  void Finish(const Outcome& refusal);
  //! Takes a connection's error for what it tells of the server.
  policy::TryOutcome Lose(http::ConnectionError error);
  //! Notes that bytes of the answer came.
  void NoteBytes();
  //! Says that the server has read the prompt, or will not.
  void NoteRead(const Target& target);
  void LogTry(const Target& target, policy::TryOutcome end) const;

  PathGateway& gateway;
  PathCall call;
  std::optional<ForwardedCall> forwarded;
  http::ResponseWriter& writer;
  http::asio::any_io_executor executor;

  std::shared_ptr<const state::Snapshot> snapshot;
  //! How old the leader's word was when the call came; negative where there
  //! never was any.
  std::chrono::milliseconds leader_contact_age{-1};
  const state::PathRoute* route = nullptr;
  std::string service;
  Grant grant;
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
  //! Whether a server was there, but the wait not worth it.
  bool turned_away = false;
  //! The last whole answer of a server, kept until it is known to go on.
  std::optional<http::Response> answer;
  EventSplitter events;
  std::optional<std::uint64_t> last_event;
  std::string peer;
  //! What the last try tells of its server.
  policy::HealthSignal signal = policy::HealthSignal::kNothing;
  //! When the last try began, by the servers' clock.
  TimePoint sent_at;
  //! Prompt tokens of the try under way that its server has yet to read.
  TokenCount pending_prefill = 0;

  //! When the first byte of the answer came, and when the last did.
  std::optional<TimePoint> first_byte_at;
  TimePoint last_byte_at;
  //! The longest time between two pieces of the answer.
  Duration longest_gap{};
  //! Requests of this host at the last server when it was chosen.
  std::uint32_t server_load = 0;
  //! The wait for a slot that was expected there.
  Duration slot_wait{};

  bool caller_gone = false;
  http::Connection* current_connection = nullptr;
};

}  // namespace tamarackwing::gateway
