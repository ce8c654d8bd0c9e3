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

//! Who a forwarded request runs for.
struct ForwardedIdentity {
  WorkspaceName workspace;
  KeyDigest key;
};

//! One request from its head to its answer.
//! Thread safety: only from its traffic thread, but for Cancel.
class ServedRequest : public std::enable_shared_from_this<ServedRequest> {
 public:
  ServedRequest(Gateway& gateway,
                callers::CallerRequest request,
                std::optional<ForwardedIdentity> forwarded,
                http::ResponseWriter& writer,
                http::asio::any_io_executor executor);
  ~ServedRequest();

  //! Serves the request: an answer or a refusal goes to the writer.
  http::asio::awaitable<void> Run();
  //! Ends the request with a refusal. Thread safety: from any thread.
  void Cancel(RefusalCode reason);

 private:
  using Outcome = std::optional<Refusal>;
  enum class TryResult { kDone, kTryAnother };
  //! How one try ended; a refusal only where no other try may follow.
  struct TryOutcome {
    TryResult result = TryResult::kDone;
    Outcome refusal;
  };

  http::asio::awaitable<Outcome> Serve();
  Outcome Resolve();
  Outcome Authorize();
  Outcome CheckPlace();
  http::asio::awaitable<Outcome> ReserveTokens();
  http::asio::awaitable<Outcome> EnterGate();
  void LeaveGate();
  http::asio::awaitable<Outcome> ServeIdempotent();
  http::asio::awaitable<TryOutcome> TryServer(policy::ServerChoice choice,
                                              bool fresh);
  http::asio::awaitable<TryOutcome> PassAnswer(
      const policy::ServerChoice& choice,
      backend_servers::PooledConnection& connection,
      http::ResponseHead head);
  http::asio::awaitable<TryOutcome> PassWhole(http::Connection& connection,
                                              http::ResponseHead head);
  http::asio::awaitable<TryOutcome> PassStream(
      const policy::ServerChoice& choice,
      http::Connection& connection,
      http::ResponseHead head);
  http::asio::awaitable<bool> PipeEvents(http::Connection& connection,
                                         bool& caller_gone);
  http::asio::awaitable<std::unique_ptr<http::Connection>> ResumeStream(
      const policy::ServerChoice& choice,
      const std::string& stream_id);
  http::asio::awaitable<Outcome> ServeOperation();
  static http::asio::awaitable<void> RunOperation(
      std::shared_ptr<ServedRequest> self,
      std::shared_ptr<http::Handoff<std::optional<Refusal>>> done);
  http::asio::awaitable<Outcome> RequestPermit();
  http::asio::awaitable<Outcome> SendOperation();
  http::asio::awaitable<Outcome> Forward();
  bool ShouldForward();
  void PickForwardTarget();
  Refusal UpstreamRefusal(http::ConnectionError error) const;
  //! Prompt tokens and the most output tokens.
  TokenCount RequestedTokens() const;
  policy::ServerQuery Query() const;
  http::Request BackendRequest(const http::Endpoint& endpoint) const;
  std::chrono::milliseconds TimeLeft() const;
  TimePoint FirstByteDeadline(bool reused, Duration expected) const;
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
  TimePoint slot_since;
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
