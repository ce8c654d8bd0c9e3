#include "fake_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "tamarackwing/callers/model_call.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/response_writer.h"

namespace tamarackwing::fakes {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kSlotPollInterval{1};
constexpr std::chrono::milliseconds kPostTimeout{500};
//! Share of the prefill time that remains if the prompt's prefix is cached.
constexpr double kCachedPrefillShare = 0.2;
constexpr std::size_t kMaxSeen = 1 << 20;

http::Response Json(unsigned status, const json& body) {
  return http::MakeResponse(status, "application/json", body.dump());
}

http::Response ErrorResponse(unsigned status, const char* text) {
  return Json(status, {{"error", text}});
}

std::string TokenEvent(std::uint32_t index) {
  const json event = {
      {"choices",
       {{{"delta", {{"content", "t" + std::to_string(index) + " "}}}}}}};
  return "data: " + event.dump() + "\n\n";
}

Duration TokenTime(double tokens, double rate) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(tokens / rate));
}

}  // namespace

//! Occupies one slot, acquired with AcquireSlot, until it is destroyed.
class FakeServer::Slot {
 public:
  explicit Slot(FakeServer& server)
      : server(server), since(std::chrono::steady_clock::now()) {}
  ~Slot() {
    const std::lock_guard lock(this->server.mutex);
    this->server.running -= 1;
    this->server.busy += std::chrono::steady_clock::now() - this->since;
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

 private:
  FakeServer& server;
  TimePoint since;
};

FakeServer::FakeServer(http::IoThreads& threads,
                       FakeIdentity identity,
                       FakeBehaviour behaviour)
    : threads(threads), identity(std::move(identity)), behaviour(behaviour) {}

FakeServer::~FakeServer() {
  this->stopped->store(true);
}

std::uint16_t FakeServer::Start(const http::Endpoint& listen_on) {
  this->server = std::make_unique<http::Server>(this->threads, *this,
                                                http::ServerLimits());
  this->endpoint = listen_on;
  this->endpoint.port = this->server->Listen(listen_on).value_or(0);
  http::asio::co_spawn(*this->threads.All().front(), this->Announce(),
                       http::asio::detached);
  return this->endpoint.port;
}

void FakeServer::SetBehaviour(const FakeBehaviour& new_behaviour) {
  const std::lock_guard lock(this->mutex);
  this->behaviour = new_behaviour;
}

FakeBehaviour FakeServer::Behaviour() const {
  const std::lock_guard lock(this->mutex);
  return this->behaviour;
}

std::map<std::string, std::uint32_t> FakeServer::Runs() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

std::string FakeServer::Seen() const {
  const std::lock_guard lock(this->mutex);
  return this->seen;
}

std::uint32_t FakeServer::Started() const {
  const std::lock_guard lock(this->mutex);
  return this->started;
}

std::uint32_t FakeServer::Cancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

std::optional<http::Response> FakeServer::CheckHead(const http::RequestHead&) {
  return std::nullopt;
}

http::Response FakeServer::RejectFault(http::RequestFault) {
  return Json(400, {{"error", "malformed"}});
}

http::asio::awaitable<void> FakeServer::Handle(http::Request request,
                                               http::ResponseWriter& writer) {
  const std::string& target = request.head.target;
  if (target == "/fake/runs") {
    co_await writer.Send(this->Counts());
    co_return;
  }
  if (target == "/fake/behaviour") {
    co_await writer.Send(this->SetBehaviourFrom(request));
    co_return;
  }
  if (target == "/v1/orders") {
    co_await writer.Send(this->HandleOrder(request));
    co_return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->started += 1;
    if (this->seen.size() < kMaxSeen) {
      for (const http::Header& field : request.head.headers.All()) {
        this->seen += field.name + ": " + field.value + "\n";
      }
      this->seen += request.head.target + "\n" + request.body + "\n";
    }
  }
  const FakeBehaviour current = this->Behaviour();
  if (current.silent) {
    co_await this->Pause(std::chrono::hours(1));
    co_return;
  }
  if (current.fail_status != 0) {
    co_await writer.Send(ErrorResponse(current.fail_status, "injected fault"));
    co_return;
  }
  if (target.starts_with("/v1/streams/")) {
    co_await this->ServeResume(request, writer);
  } else if (target.starts_with("/v1/")) {
    co_await this->ServeModel(request, writer);
  } else {
    co_await this->ServeService(request, writer);
  }
}

http::asio::awaitable<void> FakeServer::ServeModel(
    const http::Request& request,
    http::ResponseWriter& writer) {
  const auto call = callers::ParseModelCall(request.body);
  if (!call) {
    co_await writer.Send(ErrorResponse(400, "malformed model request"));
    co_return;
  }
  co_await this->AcquireSlot();
  const Slot slot(*this);
  co_await this->Prefill(request.body);
  const auto tokens = static_cast<std::uint32_t>(call->output_tokens);
  if (!call->stream) {
    co_await this->Pause(TokenTime(tokens, this->Behaviour().decode_rate));
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
      text += "t" + std::to_string(i) + " ";
    }
    json body = {{"choices", {{{"message", {{"content", text}}}}}},
                 {"usage", {{"total_tokens", call->prompt_tokens + tokens}}}};
    co_await writer.Send(Json(200, body));
    co_return;
  }
  std::string id;
  {
    const std::lock_guard lock(this->mutex);
    id = std::to_string(this->next_stream++);
    this->streams[id] = {tokens};
  }
  http::ResponseHead head;
  head.status = 200;
  head.headers.Add("Content-Type", "text/event-stream");
  head.headers.Add("X-Stream-Id", id);
  if (co_await writer.StartStream(std::move(head))) {
    co_await this->WriteTokens(writer, 0, tokens, true);
  }
}

http::asio::awaitable<void> FakeServer::ServeResume(
    const http::Request& request,
    http::ResponseWriter& writer) {
  const std::string rest = request.head.target.substr(12);
  const std::string id = rest.substr(0, rest.find('?'));
  const std::size_t offset_at = rest.find("offset=");
  std::uint32_t tokens = 0;
  bool known = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto stream = this->streams.find(id);
    known = stream != this->streams.end() && offset_at != std::string::npos;
    if (known) {
      tokens = stream->second.tokens;
    }
  }
  if (!known) {
    co_await writer.Send(ErrorResponse(404, "unknown stream"));
    co_return;
  }
  const auto offset =
      static_cast<std::uint32_t>(std::stoul(rest.substr(offset_at + 7)));
  http::ResponseHead head;
  head.status = 200;
  head.headers.Add("Content-Type", "text/event-stream");
  if (co_await writer.StartStream(std::move(head))) {
    co_await this->WriteTokens(writer, offset, tokens, false);
  }
}

http::asio::awaitable<void> FakeServer::WriteTokens(
    http::ResponseWriter& writer,
    std::uint32_t from,
    std::uint32_t to,
    bool inject_faults) {
  for (std::uint32_t i = from; i < to; ++i) {
    const FakeBehaviour current = this->Behaviour();
    if (inject_faults && current.cut_after != 0 && i == current.cut_after) {
      writer.Abort();
      co_return;
    }
    if (inject_faults && current.silent_after != 0 &&
        i == current.silent_after) {
      co_await this->Pause(std::chrono::hours(1));
      co_return;
    }
    co_await this->Pause(TokenTime(1, current.decode_rate));
    if (!co_await writer.WritePiece(TokenEvent(i))) {
      const std::lock_guard lock(this->mutex);
      this->cancelled += 1;
      co_return;
    }
  }
  co_await writer.WritePiece("data: [DONE]\n\n");
  co_await writer.FinishStream();
}

http::asio::awaitable<void> FakeServer::ServeService(
    const http::Request& request,
    http::ResponseWriter& writer) {
  co_await this->AcquireSlot();
  const Slot slot(*this);
  const std::string key(
      request.head.headers.Find("Idempotency-Key").value_or("none"));
  std::uint32_t run = 0;
  {
    const std::lock_guard lock(this->mutex);
    run = ++this->runs[key];
  }
  co_await this->Pause(this->Behaviour().service_time);
  json body = {
      {"operation", key}, {"run", run}, {"server", this->identity.name}};
  co_await writer.Send(Json(200, body));
}

http::asio::awaitable<void> FakeServer::AcquireSlot() {
  {
    const std::lock_guard lock(this->mutex);
    this->queued += 1;
  }
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->running < this->behaviour.slots) {
        this->running += 1;
        this->queued -= 1;
        co_return;
      }
    }
    co_await this->Pause(kSlotPollInterval);
  }
}

http::asio::awaitable<void> FakeServer::Prefill(const std::string& body) {
  const auto call = callers::ParseModelCall(body);
  bool hit = false;
  {
    const std::lock_guard lock(this->mutex);
    hit = !this->cached_prefixes.insert(call->prefix).second;
  }
  const double prefill_share = hit ? kCachedPrefillShare : 1;
  const double tokens =
      static_cast<double>(call->prompt_tokens) * prefill_share;
  co_await this->Pause(TokenTime(tokens, this->Behaviour().prefill_rate));
  if (!hit) {
    auto executor = co_await http::asio::this_coro::executor;
    http::asio::co_spawn(executor, this->SendCacheEvent(call->prefix),
                         http::asio::detached);
  }
}

http::asio::awaitable<void> FakeServer::Pause(Duration time) {
  http::asio::steady_timer timer(co_await http::asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(http::asio::use_awaitable);
}

http::asio::awaitable<void> FakeServer::Announce() {
  const auto stop = this->stopped;
  while (!stop->load()) {
    const std::string report = this->Report();
    co_await this->Pause(this->Behaviour().report_lag);
    if (stop->load()) {
      co_return;
    }
    co_await this->Post("/v1/servers", report);
    if (stop->load()) {
      co_return;
    }
    co_await this->Pause(this->Behaviour().announce_every);
  }
}

http::asio::awaitable<void> FakeServer::SendCacheEvent(std::uint64_t prefix) {
  {
    const std::lock_guard lock(this->mutex);
    this->cache_events += 1;
    const std::uint32_t drop = this->behaviour.drop_cache_event;
    if (drop != 0 && this->cache_events % drop == 0) {
      co_return;
    }
  }
  const json body = {{"name", this->identity.name}, {"prefixes", {prefix}}};
  co_await this->Post("/v1/cache_events", body.dump());
}

http::asio::awaitable<void> FakeServer::Post(std::string target,
                                             std::string body) {
  for (const http::Endpoint& host : this->identity.hosts) {
    http::Request request;
    request.head.method = "POST";
    request.head.target = target;
    request.head.headers.Add("Host", host.address);
    request.body = body;
    const auto response = co_await http::Fetch(
        *this->threads.All().front(), host, std::move(request),
        std::chrono::steady_clock::now() + kPostTimeout, kMaxSeen);
    if (response) {
      co_return;
    }
  }
}

http::Response FakeServer::Counts() const {
  const std::lock_guard lock(this->mutex);
  const auto busy =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->busy);
  return Json(200, {{"runs", this->runs}, {"busy_ms", busy.count()}});
}

http::Response FakeServer::HandleOrder(const http::Request& request) {
  const json order = json::parse(request.body, nullptr, false);
  const std::uint64_t number =
      order.is_object() ? order.value("fencing", std::uint64_t{0}) : 0;
  const std::lock_guard lock(this->mutex);
  if (this->behaviour.checks_fencing && number < this->highest_fencing) {
    return Json(409, {{"error", "old fencing number"}});
  }
  this->highest_fencing = std::max(this->highest_fencing, number);
  return Json(200, {{"taken", true}});
}

http::Response FakeServer::SetBehaviourFrom(const http::Request& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Json(400, {{"error", "not an object"}});
  }
  const std::lock_guard lock(this->mutex);
  FakeBehaviour& current = this->behaviour;
  current.silent = body.value("silent", current.silent);
  current.leaving = body.value("leaving", current.leaving);
  current.cut_after = body.value("cut_after", current.cut_after);
  current.silent_after = body.value("silent_after", current.silent_after);
  current.fail_status = body.value("fail_status", current.fail_status);
  current.decode_rate = body.value("decode_rate", current.decode_rate);
  return Json(200, {{"taken", true}});
}

std::string FakeServer::Report() const {
  const std::lock_guard lock(this->mutex);
  const json report = {{"name", this->identity.name},
                       {"region", this->identity.region},
                       {"data_centre", this->identity.data_centre},
                       {"address", this->endpoint.address},
                       {"port", this->endpoint.port},
                       {"targets", this->identity.targets},
                       {"slots", this->behaviour.slots},
                       {"running", this->running},
                       {"queued", this->queued},
                       {"prefill_rate", this->behaviour.prefill_rate},
                       {"decode_rate", this->behaviour.decode_rate},
                       {"age_ms", this->behaviour.report_lag.count()},
                       {"leaving", this->behaviour.leaving}};
  return report.dump();
}

}  // namespace tamarackwing::fakes
