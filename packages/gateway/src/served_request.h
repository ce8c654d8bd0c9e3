#pragma once

#include <memory>
#include <optional>
#include <string>

#include "event_splitter.h"
#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/base/trace_context.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/callers/model_call.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/gateway/gateway.h"
#include "tamarackwing/gateway/operation_permits.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/handoff.h"
#include "tamarackwing/policy/server_table.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! Workspace and key on whose behalf a forwarded request runs.
struct ForwardedIdentity {
  WorkspaceName workspace;
  KeyDigest key;
};

//! One request from its parsed head to the response or refusal.
//! Thread safety: used only from its traffic thread, except for Cancel.
class ServedRequest : public std::enable_shared_from_this<ServedRequest> {
 public:
  ServedRequest(Gateway& gateway,
                callers::CallerRequest request,
                std::optional<ForwardedIdentity> forwarded,
                http::ResponseWriter& writer,
                http::asio::any_io_executor executor);
  ~ServedRequest();

  //! Serves the request and writes the response or a refusal to the writer.
  http::asio::awaitable<void> Run();
  //! Cancels the request, which then ends with a refusal for `reason`.
  //! Thread safety: from any thread.
  void Cancel(RefusalCode reason);

 private:
  //! The refusal that ends the request, or nothing.
  using Outcome = std::optional<Refusal>;
  enum class TryResult { kDone, kTryAnother };
  //! Result of one try, with the refusal to send if no other try follows.
  struct TryOutcome {
    TryResult result = TryResult::kDone;
    Outcome refusal;
  };

  http::asio::awaitable<Outcome> Serve();
  //! Parses a model call, finds the route and sets the deadline.
  Outcome Resolve();
  Outcome Authorize();
  //! Returns a refusal if this host drains, if the request would leak the
  //! caller's key to a server, if the residency rules forbid this region, or if
  //! an operation has no idempotency key.
  Outcome CheckPreconditions();
  http::asio::awaitable<Outcome> ReserveTokens();
  //! Waits in the admission queue for a slot of the target.
  http::asio::awaitable<Outcome> AcquireSlot();
  void ReleaseSlot();
  http::asio::awaitable<Outcome> ServeIdempotent();
  //! Tries one server; `fresh` requires a new connection.
  http::asio::awaitable<TryOutcome> TryServer(policy::ServerChoice choice,
                                              bool fresh);
  http::asio::awaitable<TryOutcome> RelayResponse(
      const policy::ServerChoice& choice,
      backend_servers::PooledConnection& connection,
      http::ResponseHead head);
  //! Reads a complete response, then sends it to the caller.
  http::asio::awaitable<TryOutcome> RelayFullResponse(
      http::Endpoint endpoint,
      http::Connection& connection,
      http::ResponseHead head);
  //! Relays server-sent events as they arrive, and resumes a broken stream.
  http::asio::awaitable<TryOutcome> RelayStream(
      const policy::ServerChoice& choice,
      http::Connection& connection,
      http::ResponseHead head);
  //! Relays events until the stream ends; returns false if it breaks or if the
  //! caller disconnects.
  http::asio::awaitable<bool> RelayEvents(http::Endpoint endpoint,
                                          http::Connection& connection,
                                          bool& caller_gone);
  //! Reopens a stream at the next event; returns null if that fails.
  http::asio::awaitable<std::unique_ptr<http::Connection>> ResumeStream(
      const policy::ServerChoice& choice,
      const std::string& stream_id);
  http::asio::awaitable<Outcome> ServeOperation();
  //! Runs an operation to its end, also if its caller disconnects.
  static http::asio::awaitable<void> RunOperation(
      std::shared_ptr<ServedRequest> self,
      std::shared_ptr<http::Handoff<std::optional<Refusal>>> done);
  http::asio::awaitable<Outcome> RequestPermit();
  http::asio::awaitable<Outcome> SendOperation();
  http::asio::awaitable<Outcome> Forward();
  //! Returns whether another region should serve the request; `forward_target`
  //! is then set.
  bool ShouldForward();
  void PickForwardTarget();
  //! Returns the refusal for a try that ended with a connection error.
  //! Returns whether the last server has announced its shutdown.
  bool IsLeaving() const;
  Refusal ConnectionErrorRefusal(http::ConnectionError error) const;
  //! Returns the prompt tokens plus the maximum output tokens.
  TokenCount RequestedTokens() const;
  policy::ServerQuery Query() const;
  http::Request BackendRequest(const http::Endpoint& endpoint) const;
  std::chrono::milliseconds TimeLeft() const;
  TimePoint FirstByteDeadline(bool reused, Duration expected) const;
  //! Ends the current wait and cancels the current connection.
  void Interrupt();
  void Finish(const Outcome& refusal);

  Gateway& gateway;
  callers::CallerRequest request;
  std::optional<ForwardedIdentity> forwarded;
  http::ResponseWriter& writer;
  http::asio::any_io_executor executor;

  std::shared_ptr<const state::Snapshot> snapshot;
  std::optional<state::Route> route;
  std::optional<callers::ModelCall> call;
  Grant grant;
  std::string target;
  TimePoint started;
  std::chrono::system_clock::time_point started_at;
  TimePoint deadline;
  TraceContext trace;
  std::string parent_span;
  std::string peer;

  std::uint64_t active_id = 0;
  std::uint64_t queue_id = 0;
  std::uint64_t reservation = 0;
  TokenCount used_tokens = 0;
  bool holds_slot = false;
  TimePoint slot_acquired_at;
  std::set<BackendServerName> tried;
  std::optional<ForwardTarget> forward_target;
  EventSplitter events;
  OperationId operation;
  OperationAnswer operation_answer;

  std::optional<RefusalCode> cancelled;
  bool caller_gone = false;
  bool sent_operation = false;
  http::Connection* current_connection = nullptr;
  std::function<void()> interrupt_wait;
};

}  // namespace tamarackwing::gateway
