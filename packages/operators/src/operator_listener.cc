#include "tamarackwing/operators/operator_listener.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "set_document.h"
#include "status_document.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/http/handoff.h"
#include "tamarackwing/operators/operator_service.h"
#include "tamarackwing/state/set_parser.h"

namespace tamarackwing::operators {
namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kUnavailable = 503;
constexpr std::chrono::seconds kLeaderReplyTimeout{10};
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kHostsPrefix = "/v1/hosts/";

http::Response JsonResponse(unsigned status, const ordered_json& body) {
  return http::MakeResponse(status, "application/json", body.dump());
}

http::Response CodeResponse(unsigned status, std::string_view code) {
  ordered_json body;
  body["code"] = code;
  return JsonResponse(status, body);
}

http::Response OutcomeResponse(const OrderResult& result) {
  if (!result.outcome) {
    return CodeResponse(kUnavailable, "no_leader");
  }
  ordered_json body;
  unsigned status = kOk;
  switch (result.outcome->kind) {
    case state::ApplyKind::kApplied:
      body["code"] = "applied";
      break;
    case state::ApplyKind::kConflict:
      body["code"] = "conflict";
      status = kConflict;
      break;
    case state::ApplyKind::kRejected:
      body["code"] = "rejected";
      status = kUnprocessable;
      break;
    case state::ApplyKind::kIgnored:
      body["code"] = "ignored";
      status = kNotFound;
      break;
    case state::ApplyKind::kOvertaken:
      body["code"] = "overtaken";
      break;
  }
  body["version"] = result.outcome->version;
  body["faults"] = FaultDocument(result.outcome->faults);
  return JsonResponse(status, body);
}

http::Response FaultsResponse(const config::Faults& faults) {
  ordered_json body;
  body["code"] = "rejected";
  body["faults"] = FaultDocument(faults);
  return JsonResponse(kUnprocessable, body);
}

std::string HeaderValue(const http::Request& request, std::string_view name) {
  return std::string(request.head.headers.Find(name).value_or(""));
}

bool ParseVersion(const std::string& text, SetVersion& version) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  return error == std::errc() && stop == end && !text.empty();
}

//! Returns the change that adds or replaces the objects of `partial_set` in
//! `current` and removes none.
state::SetDelta PartialDelta(const state::ConfigurationSet& current,
                             const state::ConfigurationSet& partial_set) {
  state::SetDelta delta = state::DiffSets(current, partial_set);
  delta.removed.clear();
  return delta;
}

}  // namespace

OperatorListener::OperatorListener(OperatorService& service,
                                   std::string token_digest)
    : service(service), token_digest(std::move(token_digest)) {}

std::optional<http::Response> OperatorListener::CheckHead(
    const http::RequestHead& head) {
  const std::string header(head.headers.Find("Authorization").value_or(""));
  const bool has_token =
      header.starts_with(kBearerPrefix) && !this->token_digest.empty() &&
      EqualInConstantTime(Sha256Hex(header.substr(kBearerPrefix.size())),
                          this->token_digest);
  if (!has_token) {
    return CodeResponse(kUnauthorized, "token_invalid");
  }
  return std::nullopt;
}

http::asio::awaitable<void> OperatorListener::Handle(
    http::Request request,
    http::ResponseWriter& writer) {
  http::Response response = co_await this->Dispatch(std::move(request));
  co_await writer.Send(std::move(response));
}

http::Response OperatorListener::RejectFault(http::RequestFault) {
  return CodeResponse(kBadRequest, "malformed_request");
}

http::asio::awaitable<http::Response> OperatorListener::Dispatch(
    http::Request request) {
  const std::string& method = request.head.method;
  const std::string& target = request.head.target;
  if (method == "POST" && (target == "/v1/sets" || target == "/v1/check")) {
    co_return co_await this->Publish(std::move(request));
  }
  if (method == "GET" && target == "/v1/set") {
    co_return this->ShowSet();
  }
  if (method == "GET" && target == "/v1/status") {
    co_return co_await this->Status();
  }
  if (method == "POST" && target == "/v1/keys") {
    co_return co_await this->GrantKey(std::move(request));
  }
  if (method == "POST" && target == "/v1/keys/withdraw") {
    co_return this->WithdrawKey(request);
  }
  if (method == "POST" && target.starts_with(kHostsPrefix)) {
    co_return co_await this->ChangeHost(std::move(request));
  }
  co_return CodeResponse(kNotFound, "not_found");
}

http::asio::awaitable<http::Response> OperatorListener::Publish(
    http::Request request) {
  const auto parsed = state::ParseSet(request.body);
  if (!parsed) {
    co_return FaultsResponse(parsed.error());
  }
  state::PublishSet publish;
  publish.id = PublishId(HeaderValue(request, "Publish-Id"));
  if (!ParseVersion(HeaderValue(request, "Base-Version"), publish.base)) {
    co_return CodeResponse(kBadRequest, "base_version_invalid");
  }
  const bool is_check = request.head.target == "/v1/check";
  if (publish.id.IsEmpty() && !is_check) {
    co_return CodeResponse(kBadRequest, "publish_id_missing");
  }
  const auto snapshot = this->service.Snapshot();
  const bool is_partial = HeaderValue(request, "Partial") == "true";
  // The delta is computed against this host's set. If that set is newer than
  // the base version, applying the change reports a conflict.
  publish.delta = is_partial ? PartialDelta(*snapshot->set, *parsed)
                             : state::DiffSets(*snapshot->set, *parsed);
  if (snapshot->version < publish.base) {
    co_return CodeResponse(kUnavailable, "behind_base_version");
  }
  co_return co_await this->MakeChange(std::move(publish), is_check);
}

http::asio::awaitable<http::Response> OperatorListener::MakeChange(
    state::ControlChange change,
    bool check_only) {
  auto executor = co_await http::asio::this_coro::executor;
  auto handoff = std::make_shared<http::Handoff<OrderResult>>(executor);
  const auto done = [handoff](OrderResult result) {
    handoff->Set(std::move(result));
  };
  if (check_only) {
    this->service.Check(std::get<state::PublishSet>(std::move(change)), done);
  } else {
    this->service.Change(std::move(change), done);
  }
  const auto result = co_await handoff->Wait(std::chrono::steady_clock::now() +
                                             kLeaderReplyTimeout);
  co_return OutcomeResponse(result.value_or(OrderResult()));
}

http::asio::awaitable<http::Response> OperatorListener::GrantKey(
    http::Request request) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  if (!document.is_object()) {
    co_return CodeResponse(kBadRequest, "not_json");
  }
  state::GrantKey grant;
  grant.id = PublishId(HeaderValue(request, "Publish-Id"));
  grant.key.digest = KeyDigest(document.value("digest", ""));
  grant.key.workspace = WorkspaceName(document.value("workspace", ""));
  for (const auto& region :
       document.value("home_regions", nlohmann::json::array())) {
    if (region.is_string()) {
      grant.key.home_regions.emplace_back(region.get<std::string>());
    }
  }
  if (grant.id.IsEmpty() || grant.key.digest.IsEmpty()) {
    co_return CodeResponse(kBadRequest, "field_missing");
  }
  co_return co_await this->MakeChange(std::move(grant), false);
}

http::Response OperatorListener::WithdrawKey(const http::Request& request) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  const std::string digest =
      document.is_object() ? document.value("digest", "") : "";
  if (digest.empty()) {
    return CodeResponse(kBadRequest, "field_missing");
  }
  this->service.Withdraw(KeyDigest(digest));
  return CodeResponse(kOk, "withdrawn");
}

http::asio::awaitable<http::Response> OperatorListener::ChangeHost(
    http::Request request) {
  const std::string rest = request.head.target.substr(kHostsPrefix.size());
  const std::size_t slash = rest.find('/');
  const HostName host(rest.substr(0, slash));
  const std::string action =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const auto snapshot = this->service.Snapshot();
  if (!snapshot->hosts->contains(host)) {
    co_return CodeResponse(kNotFound, "unknown_host");
  }
  state::ControlChange change;
  if (action == "drain") {
    change = state::DrainHost{host, true};
  } else if (action == "remove") {
    change = state::RemoveHost{host};
  } else {
    co_return CodeResponse(kNotFound, "not_found");
  }
  co_return co_await this->MakeChange(std::move(change), false);
}

http::asio::awaitable<http::Response> OperatorListener::Status() {
  using Reply = std::optional<control::StatusReply>;
  auto executor = co_await http::asio::this_coro::executor;
  auto handoff = std::make_shared<http::Handoff<Reply>>(executor);
  this->service.Status(
      [handoff](Reply reply) { handoff->Set(std::move(reply)); });
  const auto result = co_await handoff->Wait(std::chrono::steady_clock::now() +
                                             kLeaderReplyTimeout);
  const auto snapshot = this->service.Snapshot();
  co_return JsonResponse(
      kOk, StatusDocument(*snapshot, result ? *result : std::nullopt));
}

http::Response OperatorListener::ShowSet() {
  const auto snapshot = this->service.Snapshot();
  ordered_json body;
  body["version"] = snapshot->version;
  body["set"] = SetDocument(*snapshot->set);
  return JsonResponse(kOk, body);
}

}  // namespace tamarackwing::operators
