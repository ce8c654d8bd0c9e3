#include "session.h"

#include <exception>
#include <utility>

#include "socket_options.h"
#include "tamarackwing/base/event.h"

namespace tamarackwing::http {
namespace {

namespace beast_http = boost::beast::http;

using std::chrono::milliseconds;

constexpr unsigned kHttp11 = 11;
//! Buffer space reserved for the first read of a request; most heads fit.
constexpr std::size_t kInitialReadBytes = 1'024;

auto RedirectTo(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

template <typename Fields>
RequestHead ReadHead(const beast_http::header<true, Fields>& message) {
  RequestHead head;
  head.method = std::string(message.method_string());
  head.target = std::string(message.target());
  for (const auto& field : message) {
    head.headers.Add(std::string(field.name_string()),
                     std::string(field.value()));
  }
  return head;
}

template <typename Message>
void WriteHead(const ResponseHead& head, Message& message) {
  message.version(kHttp11);
  message.result(head.status);
  for (const Header& header : head.headers.All()) {
    message.insert(header.name, header.value);
  }
}

std::optional<RequestFault> FaultOf(const boost::system::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return RequestFault::kHeadTooLarge;
  }
  if (error == beast_http::error::body_limit) {
    return RequestFault::kBodyTooLarge;
  }
  const bool is_parse_error =
      error.category() ==
      beast_http::make_error_code(beast_http::error::bad_version).category();
  if (is_parse_error && error != beast_http::error::end_of_stream &&
      error != beast_http::error::partial_message) {
    return RequestFault::kMalformed;
  }
  return std::nullopt;
}

}  // namespace

Session::Session(asio::ip::tcp::socket socket,
                 std::shared_ptr<SessionContext> context)
    : stream(std::move(socket)),
      context(std::move(context)),
      limits(this->context->limits),
      read_timer(this->stream.get_executor()) {
  SetSocketOptions(this->stream.socket(),
                   this->context->limits.silence_timeout);
  this->context->open.fetch_add(1);
}

Session::~Session() {
  this->context->open.fetch_sub(1);
}

asio::awaitable<void> Session::Run() {
  bool stays_open = true;
  try {
    while (stays_open) {
      stays_open = co_await this->ServeOne();
    }
  } catch (const std::exception& error) {
    // Asio drops the exceptions of detached coroutines, and the connection
    // would stay open without an answer.
    LogEvent(Event::kHandlerFailed, LogLevel::kError,
             {{"reason", error.what()}});
  }
  boost::system::error_code ignored;
  this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->stream.close();
}

asio::awaitable<bool> Session::AwaitRequest() {
  if (this->buffer.size() > 0) {
    co_return true;
  }
  boost::system::error_code error;
  this->stream.expires_after(this->limits.idle_timeout);
  const auto space = this->buffer.prepare(kInitialReadBytes);
  const std::size_t read =
      co_await this->stream.async_read_some(space, RedirectTo(error));
  this->buffer.commit(read);
  this->stream.expires_never();
  co_return !error;
}

template <typename Read>
asio::awaitable<bool> Session::ReadWithin(milliseconds max_time, Read read) {
  const std::uint64_t generation = ++this->read_generation;
  this->read_timed_out = false;
  this->read_timer.expires_after(max_time);
  this->read_timer.async_wait([self = this->shared_from_this(), generation](
                                  const boost::system::error_code& cancelled) {
    // Cancelling a timer that has already fired has no effect, so this handler
    // may run after its read has ended.
    if (!cancelled && self->read_generation == generation) {
      self->read_timed_out = true;
      self->stream.cancel();
    }
  });
  boost::system::error_code error;
  co_await read(error);
  ++this->read_generation;
  this->read_timer.cancel();
  if (!error) {
    co_return true;
  }
  const auto fault =
      this->read_timed_out ? RequestFault::kSlow : FaultOf(error);
  if (fault) {
    this->keep_alive = false;
    co_await this->Refuse(this->context->handler.RejectFault(*fault));
  }
  co_return false;
}

asio::awaitable<bool> Session::ServeOne() {
  this->limits = this->context->handler.LimitsNow(this->context->limits);
  if (!co_await this->AwaitRequest()) {
    co_return false;
  }
  Parser parser;
  parser.header_limit(this->limits.head_bytes);
  parser.body_limit(this->limits.body_bytes);
  const auto read_head = [this, &parser](boost::system::error_code& error) {
    return beast_http::async_read_header(this->stream, this->buffer, parser,
                                         RedirectTo(error));
  };
  if (!co_await this->ReadWithin(this->limits.head_timeout, read_head)) {
    co_return false;
  }
  this->Reset(parser.get().keep_alive());
  this->knows_chunks = parser.get().version() >= kHttp11;
  RequestHead head = ReadHead(parser.get());
  if (parser.content_length()) {
    head.content_length = *parser.content_length();
  }
  auto exchange = this->context->handler.Accept(std::move(head));
  if (!exchange) {
    const bool has_body = !parser.is_done();
    const bool sent = co_await this->Refuse(std::move(exchange.error()));
    co_return sent && !has_body && this->KeepsAlive();
  }
  if (!co_await this->ReadBody(parser)) {
    co_return false;
  }
  std::string body = std::move(parser.get().body());
  this->serving = true;
  this->WatchPeer();
  co_await (*exchange)->Serve(std::move(body), *this);
  this->serving = false;
  this->peer_gone = nullptr;
  co_return this->finished&& this->KeepsAlive();
}

asio::awaitable<bool> Session::ReadBody(Parser& parser) {
  if (parser.is_done()) {
    co_return true;
  }
  boost::system::error_code error;
  const std::string expectation(parser.get()[beast_http::field::expect]);
  if (EqualFieldNames(expectation, "100-continue")) {
    beast_http::response<beast_http::empty_body> continue_response{
        beast_http::status::continue_, kHttp11};
    this->stream.expires_after(this->context->limits.head_timeout);
    co_await beast_http::async_write(this->stream, continue_response,
                                     RedirectTo(error));
    if (error) {
      co_return false;
    }
    this->stream.expires_never();
  }
  const auto read_body = [this, &parser](boost::system::error_code& failure) {
    return beast_http::async_read(this->stream, this->buffer, parser,
                                  RedirectTo(failure));
  };
  co_return co_await this->ReadWithin(this->limits.idle_timeout, read_body);
}

asio::awaitable<bool> Session::Refuse(Response response) {
  this->stream.expires_after(this->context->limits.head_timeout);
  co_return co_await this->Send(std::move(response));
}

asio::awaitable<bool> Session::Send(Response response) {
  beast_http::response<beast_http::string_body> message;
  WriteHead(response.head, message);
  message.keep_alive(this->KeepsAlive());
  message.body() = std::move(response.body);
  message.prepare_payload();
  this->started = true;
  boost::system::error_code error;
  this->stream.expires_after(this->context->limits.head_timeout);
  co_await beast_http::async_write(this->stream, message, RedirectTo(error));
  this->finished = !error;
  co_return !error;
}

asio::awaitable<bool> Session::StartStream(ResponseHead head) {
  this->stream_response = std::make_unique<StreamResponse>();
  WriteHead(head, *this->stream_response);
  this->keep_alive = this->keep_alive && this->knows_chunks;
  this->stream_response->keep_alive(this->KeepsAlive());
  this->stream_response->chunked(this->knows_chunks);
  this->stream_response->body().data = nullptr;
  this->stream_response->body().more = true;
  this->serializer = std::make_unique<StreamSerializer>(*this->stream_response);
  this->started = true;
  boost::system::error_code error;
  this->stream.expires_after(this->context->limits.head_timeout);
  co_await beast_http::async_write_header(this->stream, *this->serializer,
                                          RedirectTo(error));
  co_return !error;
}

asio::awaitable<bool> Session::WritePiece(std::string_view piece) {
  auto& body = this->stream_response->body();
  body.data = const_cast<char*>(piece.data());
  body.size = piece.size();
  body.more = true;
  boost::system::error_code error;
  this->stream.expires_after(this->context->limits.head_timeout);
  co_await beast_http::async_write(this->stream, *this->serializer,
                                   RedirectTo(error));
  if (error == beast_http::error::need_buffer) {
    error = {};
  }
  co_return !error;
}

asio::awaitable<bool> Session::FinishStream() {
  auto& body = this->stream_response->body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  boost::system::error_code error;
  this->stream.expires_after(this->context->limits.head_timeout);
  co_await beast_http::async_write(this->stream, *this->serializer,
                                   RedirectTo(error));
  this->finished = !error;
  co_return !error;
}

void Session::Abort() {
  this->keep_alive = false;
  this->finished = false;
  if (!this->knows_chunks) {
    // An orderly close would look like the end of the response.
    boost::system::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                     ignored);
  }
  this->stream.close();
}

void Session::OnPeerGone(std::function<void()> callback) {
  this->peer_gone = std::move(callback);
}

bool Session::IsPeerGone() {
  return IsPeerClosed(this->stream.socket());
}

void Session::WatchPeer() {
  if (this->watching || this->buffer.size() > 0) {
    return;
  }
  this->watching = true;
  auto self = this->shared_from_this();
  this->stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self](const boost::system::error_code& error) {
        self->watching = false;
        if (error || !self->serving) {
          return;
        }
        if (IsPeerClosed(self->stream.socket())) {
          self->ReportPeerGone();
        }
      });
}

void Session::ReportPeerGone() {
  auto callback = std::exchange(this->peer_gone, nullptr);
  if (callback) {
    callback();
  }
}

bool Session::KeepsAlive() const {
  return this->keep_alive && !this->context->stopping.load() &&
         !this->context->closing.load();
}

void Session::Reset(bool keep_alive_wanted) {
  this->keep_alive = keep_alive_wanted;
  this->started = false;
  this->finished = false;
  this->stream_response.reset();
  this->serializer.reset();
}

}  // namespace tamarackwing::http
