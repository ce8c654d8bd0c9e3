//! Implements how ServedRequest runs an operation at most once.

#include <utility>

#include "answer_reader.h"
#include "backend_exchange.h"
#include "served_request.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/http/response_writer.h"

namespace tamarackwing::gateway {
namespace {

//! Larger response bodies are not stored in the ledger.
constexpr std::size_t kStoredAnswerBytes = 16 * 1024;

}  // namespace

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::ServeOperation() {
  auto done =
      std::make_shared<http::Handoff<std::optional<Refusal>>>(this->executor);
  http::asio::co_spawn(this->executor,
                       RunOperation(this->shared_from_this(), done),
                       http::asio::detached);
  this->interrupt_wait = [done] { done->Interrupt(); };
  const auto result = co_await done->Wait(this->deadline);
  this->interrupt_wait = nullptr;
  this->used_tokens = kServiceTokens;
  // The operation continues after its caller stops waiting, so that its
  // response is stored.
  if (!result) {
    const RefusalCode reason =
        this->cancelled.value_or(RefusalCode::kDeadlinePassed);
    co_return this->sent_operation ? RefuseOutcomeUnknown(reason)
                                   : RefuseNotRun(reason);
  }
  if (*result) {
    co_return **result;
  }
  http::Response response = http::MakeResponse(
      this->operation_answer.status, this->operation_answer.content_type,
      this->operation_answer.body);
  co_await this->writer.Send(std::move(response));
  co_return std::nullopt;
}

http::asio::awaitable<void> ServedRequest::RunOperation(
    std::shared_ptr<ServedRequest> self,
    std::shared_ptr<http::Handoff<std::optional<Refusal>>> done) {
  const RequestCount::Guard guard(self->gateway.Requests());
  Outcome refusal = co_await self->RequestPermit();
  if (!refusal && self->operation_answer.status == 0) {
    refusal = co_await self->SendOperation();
  }
  done->Set(refusal);
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::RequestPermit() {
  const RegionName& region = this->route->home_regions.front();
  this->operation = DigestOperation(this->grant.workspace, this->route->name,
                                    *this->request.head.idempotency_key);
  const OperationId& operation = this->operation;
  auto handoff = std::make_shared<http::Handoff<Permit>>(this->executor);
  OperationPermits& permits = this->gateway.Dependencies().permits;
  permits.Request(region, operation,
                  [handoff, &permits, region, operation](Permit permit) {
                    const bool granted = permit.kind == PermitKind::kGranted;
                    if (!handoff->Set(std::move(permit)) && granted) {
                      permits.Release(region, operation);
                    }
                  });
  auto permit = co_await handoff->Wait(this->deadline);
  if (!permit) {
    co_return RefuseNotRun(RefusalCode::kLedgerUnavailable);
  }
  switch (permit->kind) {
    case PermitKind::kGranted:
      co_return std::nullopt;
    case PermitKind::kAnswered:
      this->operation_answer = std::move(permit->answer);
      co_return std::nullopt;
    case PermitKind::kInProgress:
      co_return RefuseOutcomeUnknown(RefusalCode::kOperationInProgress);
    case PermitKind::kUnknown:
      co_return RefuseOutcomeUnknown(RefusalCode::kOutcomeUnknown);
    case PermitKind::kFull:
      co_return RefuseNotRun(RefusalCode::kLedgerFull);
    case PermitKind::kUnavailable:
      break;
  }
  co_return RefuseNotRun(RefusalCode::kLedgerUnavailable);
}

http::asio::awaitable<ServedRequest::Outcome> ServedRequest::SendOperation() {
  const GatewayDependencies& dependencies = this->gateway.Dependencies();
  const RegionName& region = this->route->home_regions.front();
  const OperationId& operation = this->operation;
  RefusalCode reason = RefusalCode::kNoBackendServer;
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    const bool late = dependencies.clock.Now() >= this->deadline;
    if (late || this->cancelled) {
      reason = this->cancelled.value_or(RefusalCode::kDeadlinePassed);
      break;
    }
    const auto choice = dependencies.servers.Choose(this->Query());
    if (!choice) {
      break;
    }
    this->peer = choice->name.Text();
    const http::Endpoint endpoint = EndpointOf(*choice);
    auto acquired =
        co_await this->gateway.PoolOf(this->executor)
            .Acquire(endpoint, this->deadline, backend_servers::kFresh);
    if (acquired) {
      dependencies.servers.NoteConnected();
    }
    // Last check before bytes are sent: nothing is sent for a request that was
    // cancelled or reached its deadline while connecting.
    const bool given_up =
        this->cancelled || dependencies.clock.Now() >= this->deadline;
    if (!acquired || given_up) {
      dependencies.servers.Finish(choice->name, this->trace.trace_id,
                                  HealthSignalOf(!acquired),
                                  dependencies.servers.Now());
      this->tried.insert(choice->name);
      reason = RefusalCode::kBackendServerFailed;
      continue;
    }
    this->sent_operation = true;
    const TimePoint until =
        this->deadline + this->gateway.Settings().operation_grace;
    http::Connection& connection = *acquired->connection;
    bool complete = false;
    auto sent = co_await connection.Send(this->BackendRequest(endpoint), until);
    if (sent) {
      auto head = co_await connection.ReadHead(until);
      OperationAnswer answer;
      ConnectionCheck sender(this->gateway.PoolOf(this->executor), endpoint,
                             this->IsLeaving());
      AnswerReader reader(connection, nullptr, sender);
      while (head) {
        auto piece = co_await reader.Read(until);
        if (!piece || answer.body.size() + piece->bytes.size() >
                          this->gateway.Settings().answer_bytes) {
          break;
        }
        if (piece->is_end) {
          answer.status = head->status;
          answer.content_type = ContentType(*head);
          complete = true;
          break;
        }
        answer.body += piece->bytes;
      }
      this->operation_answer = std::move(answer);
    }
    dependencies.servers.Finish(choice->name, this->trace.trace_id,
                                HealthSignalOf(!complete),
                                dependencies.servers.Now());
    if (!complete) {
      dependencies.permits.MarkUnknown(region, operation);
      co_return RefuseOutcomeUnknown(RefusalCode::kBackendServerFailed);
    }
    OperationAnswer stored = this->operation_answer;
    if (stored.body.size() > kStoredAnswerBytes) {
      stored.body.clear();
    }
    dependencies.permits.Answer(region, operation, stored);
    co_return std::nullopt;
  }
  dependencies.permits.Release(region, operation);
  co_return RefuseNotRun(reason);
}

}  // namespace tamarackwing::gateway
