#include "tamarackwing/http/connection.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include "socket_options.h"

namespace tamarackwing::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::uint32_t kHeadBytes = 64 * 1024;
//! Max unparsed bytes: a head, or framing between the pieces of a body.
constexpr std::size_t kBufferBytes = kHeadBytes + kPieceBytes;
constexpr unsigned kHttp11 = 11;
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr std::chrono::milliseconds kUnackedTimeout{10'000};
//! Probes of a peer from which a response is awaited. A peer that is silent for
//! up to two seconds is not given up.
constexpr std::chrono::seconds kProbeInterval{1};
constexpr std::chrono::milliseconds kProbeTimeout{2'500};
//! Time between two looks at how much of a request its peer has received. It is
//! only spent if the response ended before that.
constexpr std::chrono::milliseconds kReceiptPollInterval{2};

using Parser = beast_http::response_parser<beast_http::buffer_body>;

auto RedirectTo(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

std::string_view BodyFramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
  }
  return "unknown";
}

struct Connection::State {
  explicit State(asio::io_context& context) : stream(context) {}

  ConnectionError Classify(const boost::system::error_code& error,
                           ConnectionError default_error) const {
    if (this->cancelled) {
      return ConnectionError::kCancelled;
    }
    // The kernel reports a peer that acknowledges nothing as timed out.
    if (error == boost::beast::error::timeout ||
        error == asio::error::timed_out) {
      return ConnectionError::kTimeout;
    }
    const bool has_ended = error == beast_http::error::end_of_stream ||
                           error == beast_http::error::partial_message;
    const bool is_parse_error =
        error.category() ==
        beast_http::make_error_code(beast_http::error::end_of_stream)
            .category();
    if (is_parse_error && !has_ended) {
      return ConnectionError::kMalformed;
    }
    return default_error;
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kBufferBytes};
  std::optional<Parser> parser;
  std::array<char, kPieceBytes> piece{};
  bool cancelled = false;
  bool response_complete = false;
};

Connection::Connection(asio::io_context& context)
    : state(std::make_unique<State>(context)) {}

Connection::~Connection() = default;

asio::awaitable<Expected<void, ConnectionError>> Connection::Connect(
    Endpoint endpoint,
    TimePoint deadline) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    co_return unexpected(ConnectionError::kConnectFailed);
  }
  const asio::ip::tcp::endpoint remote(address, endpoint.port);
  this->state->stream.expires_at(deadline);
  co_await this->state->stream.async_connect(remote, RedirectTo(error));
  if (error) {
    co_return unexpected(
        this->state->Classify(error, ConnectionError::kConnectFailed));
  }
  SetSocketOptions(this->state->stream.socket(), kUnackedTimeout);
  this->state->response_complete = true;
  co_return Expected<void, ConnectionError>();
}

asio::awaitable<Expected<void, ConnectionError>> Connection::Send(
    Request request,
    TimePoint deadline) {
  beast_http::request<beast_http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.head.method);
  message.target(request.head.target);
  for (const Header& header : request.head.headers.All()) {
    message.insert(header.name, header.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  this->state->response_complete = false;
  this->state->parser.emplace();
  this->state->parser->header_limit(kHeadBytes);
  this->state->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  this->state->stream.expires_at(deadline);
  boost::system::error_code error;
  co_await beast_http::async_write(this->state->stream, message,
                                   RedirectTo(error));
  if (error) {
    co_return unexpected(
        this->state->Classify(error, ConnectionError::kSendFailed));
  }
  co_return Expected<void, ConnectionError>();
}

asio::awaitable<Expected<ResponseHead, ConnectionError>> Connection::ReadHead(
    TimePoint deadline) {
  this->state->stream.expires_at(deadline);
  boost::system::error_code error;
  co_await beast_http::async_read_header(
      this->state->stream, this->state->buffer, *this->state->parser,
      RedirectTo(error));
  if (error) {
    co_return unexpected(
        this->state->Classify(error, ConnectionError::kReadFailed));
  }
  const auto& message = this->state->parser->get();
  // The parser accepts any three digits.
  if (message.result_int() < kMinStatus || message.result_int() > kMaxStatus) {
    co_return unexpected(ConnectionError::kInvalidStatus);
  }
  ResponseHead head;
  head.status = message.result_int();
  for (const auto& field : message) {
    head.headers.Add(std::string(field.name_string()),
                     std::string(field.value()));
  }
  co_return head;
}

asio::awaitable<Expected<std::string, ConnectionError>> Connection::ReadPiece(
    TimePoint deadline) {
  State& connection = *this->state;
  while (!connection.parser->is_done()) {
    auto& body = connection.parser->get().body();
    body.data = connection.piece.data();
    body.size = connection.piece.size();
    body.more = true;
    connection.stream.expires_at(deadline);
    boost::system::error_code error;
    co_await beast_http::async_read_some(connection.stream, connection.buffer,
                                         *connection.parser, RedirectTo(error));
    if (error && error != beast_http::error::need_buffer) {
      co_return unexpected(
          connection.Classify(error, ConnectionError::kReadFailed));
    }
    const std::size_t length = connection.piece.size() - body.size;
    if (length > 0) {
      co_return std::string(connection.piece.data(), length);
    }
  }
  if (connection.parser->need_eof()) {
    // The connection also ends if the server gives up reading the request.
    const auto received = co_await this->AwaitReceipt(deadline);
    if (!received) {
      co_return unexpected(received.error());
    }
  }
  connection.response_complete = true;
  co_return std::string();
}

asio::awaitable<Expected<void, ConnectionError>> Connection::AwaitReceipt(
    TimePoint deadline) {
  asio::steady_timer timer(this->state->stream.get_executor());
  while (true) {
    if (this->state->cancelled) {
      co_return unexpected(ConnectionError::kCancelled);
    }
    switch (StateOfSentBytes(this->state->stream.socket())) {
      case SentBytes::kReceived:
        co_return Expected<void, ConnectionError>();
      case SentBytes::kLost:
        co_return unexpected(ConnectionError::kReadFailed);
      case SentBytes::kPending:
        break;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= deadline) {
      co_return unexpected(ConnectionError::kTimeout);
    }
    timer.expires_at(std::min(deadline, now + kReceiptPollInterval));
    boost::system::error_code ignored;
    co_await timer.async_wait(RedirectTo(ignored));
  }
}

void Connection::StartProbing() {
  StartKeepAliveProbes(this->state->stream.socket(), kProbeInterval,
                       kProbeTimeout);
}

BodyFraming Connection::Framing() const {
  const Parser& parser = *this->state->parser;
  if (parser.chunked()) {
    return BodyFraming::kChunked;
  }
  return parser.need_eof() ? BodyFraming::kConnectionEnd : BodyFraming::kLength;
}

bool Connection::IsReusable() const {
  return this->state->response_complete && !this->state->cancelled &&
         this->state->buffer.size() == 0 &&
         (!this->state->parser || this->state->parser->keep_alive());
}

bool Connection::IsOpenAndIdle() {
  return http::IsOpenAndIdle(this->state->stream.socket());
}

bool Connection::IsClosedByPeer() {
  return IsPeerClosed(this->state->stream.socket());
}

std::optional<std::chrono::seconds> Connection::KeepAliveTimeout() const {
  if (!this->state->parser) {
    return std::nullopt;
  }
  const auto field = this->state->parser->get()[beast_http::field::keep_alive];
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text(field.data(), field.size());
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* const begin = text.data() + at + kTimeout.size();
  const auto read = std::from_chars(begin, text.data() + text.size(), seconds);
  if (read.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

void Connection::Cancel() {
  this->state->cancelled = true;
  this->state->stream.close();
}

asio::awaitable<Expected<Response, ConnectionError>> Fetch(
    asio::io_context& context,
    Endpoint endpoint,
    Request request,
    TimePoint deadline,
    std::size_t body_limit) {
  Connection connection(context);
  auto connected = co_await connection.Connect(endpoint, deadline);
  if (!connected) {
    co_return unexpected(connected.error());
  }
  auto sent = co_await connection.Send(std::move(request), deadline);
  if (!sent) {
    co_return unexpected(sent.error());
  }
  auto head = co_await connection.ReadHead(deadline);
  if (!head) {
    co_return unexpected(head.error());
  }
  Response response;
  response.head = std::move(*head);
  while (true) {
    auto piece = co_await connection.ReadPiece(deadline);
    if (!piece) {
      co_return unexpected(piece.error());
    }
    if (piece->empty()) {
      co_return response;
    }
    if (response.body.size() + piece->size() > body_limit) {
      co_return unexpected(ConnectionError::kMalformed);
    }
    response.body += *piece;
  }
}

}  // namespace tamarackwing::http
