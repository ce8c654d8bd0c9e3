//! A server that answers before it has read the body of a request.

#pragma once

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! What a server does once it has sent an early answer.
enum class AfterAnswer {
  //! Reads the rest of the request and keeps the connection open.
  kRead,
  //! Ends its answer in order, reads the rest of the request and closes.
  kEndAndRead,
  //! Ends its answer in order and closes without reading the rest.
  kEndAndClose,
  //! Resets the connection.
  kReset,
};

//! An answer that is sent when the head of a request has arrived.
struct EarlyAnswer {
  std::string bytes;
  AfterAnswer after = AfterAnswer::kRead;
};

//! The next early answer of several servers: the first that gets a request
//! sends it. Thread safety: any thread.
class EarlyAnswerScript {
 public:
  void Set(EarlyAnswer next) {
    const std::lock_guard lock(this->mutex);
    this->answer = std::move(next);
  }
  std::optional<EarlyAnswer> Take() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->answer, std::nullopt);
  }

 private:
  std::mutex mutex;
  std::optional<EarlyAnswer> answer;
};

//! Answers a request early if the script has an answer; otherwise reads it to
//! its end and answers 200. Its receive buffer is smaller than the uploads of
//! the tests. Thread safety: any thread.
class EarlyAnswerServer {
 public:
  //! Precondition: `script` outlives the server.
  explicit EarlyAnswerServer(EarlyAnswerScript& script) : script(script) {
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(any.protocol());
    this->acceptor.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBytes));
    this->acceptor.bind(any);
    this->acceptor.listen();
    this->thread = std::thread([this] { this->Accept(); });
  }
  ~EarlyAnswerServer() {
    this->is_down.store(true);
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
    {
      const std::lock_guard lock(this->mutex);
      for (const int socket : this->open) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    for (std::thread& connection : this->connections) {
      connection.join();
    }
  }
  EarlyAnswerServer(const EarlyAnswerServer&) = delete;
  EarlyAnswerServer& operator=(const EarlyAnswerServer&) = delete;

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  //! Returns the number of requests whose head has arrived.
  int Requests() const { return this->requests.load(); }

 private:
  using Socket = asio::ip::tcp::socket;
  static constexpr int kReceiveBytes = 64 * 1024;
  //! Between the end of an answer and the loss of its connection, so that the
  //! peer can read the answer.
  static constexpr std::chrono::milliseconds kLossDelay{100};

  void Accept() {
    while (!this->is_down.load()) {
      boost::system::error_code error;
      Socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (!error) {
        const std::lock_guard lock(this->mutex);
        this->open.push_back(socket.native_handle());
        this->connections.emplace_back(
            [this, accepted = std::move(socket)]() mutable {
              std::string input;
              while (this->ServeOne(accepted, input)) {
              }
              const std::lock_guard close_lock(this->mutex);
              std::erase(this->open, accepted.native_handle());
              accepted.close();
            });
      }
    }
  }

  static std::size_t BodyLength(const std::string& head) {
    const std::string field = "Content-Length: ";
    const std::size_t at = head.find(field);
    std::size_t length = 0;
    if (at != std::string::npos) {
      const char* const begin = head.data() + at + field.size();
      std::from_chars(begin, head.data() + head.size(), length);
    }
    return length;
  }

  //! Reads the rest of a request from `input` and the socket.
  static bool ReadBody(Socket& socket, std::string& input, std::size_t length) {
    boost::system::error_code error;
    while (input.size() < length && !error) {
      length -= input.size();
      input.resize(kReceiveBytes);
      input.resize(socket.read_some(asio::buffer(input), error));
    }
    input.erase(0, std::min(length, input.size()));
    return !error;
  }

  //! Serves one request; `input` has what was read of it. Returns whether the
  //! connection stays open.
  bool ServeOne(Socket& socket, std::string& input) {
    boost::system::error_code error;
    const std::size_t head = asio::read_until(
        socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
    if (error) {
      return false;
    }
    const std::size_t length = BodyLength(input.substr(0, head));
    input.erase(0, head);
    this->requests.fetch_add(1);
    const auto answer = this->script.Take();
    if (!answer) {
      const std::string whole =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      return ReadBody(socket, input, length) &&
             asio::write(socket, asio::buffer(whole), error) > 0;
    }
    asio::write(socket, asio::buffer(answer->bytes), error);
    const bool ends = answer->after == AfterAnswer::kEndAndRead ||
                      answer->after == AfterAnswer::kEndAndClose;
    if (ends) {
      socket.shutdown(Socket::shutdown_send, error);
    }
    const bool reads = answer->after == AfterAnswer::kRead ||
                       answer->after == AfterAnswer::kEndAndRead;
    if (reads) {
      return ReadBody(socket, input, length) && !ends;
    }
    std::this_thread::sleep_for(kLossDelay);
    if (answer->after == AfterAnswer::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    // The kernel resets the connection, as the rest was not read.
    return false;
  }

  EarlyAnswerScript& script;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{context};
  std::mutex mutex;
  //! Sockets of open connections.
  std::vector<int> open;
  std::vector<std::thread> connections;
  std::atomic<int> requests{0};
  std::atomic<bool> is_down{false};
  std::thread thread;
};

//! Bytes of a request that the sender's kernel takes whole, but not the buffer
//! of an EarlyAnswerServer.
inline constexpr std::size_t kMediumUpload = 1024 * 1024;
//! More than the socket buffers at both ends take.
inline constexpr std::size_t kLargeUpload = 12 * 1024 * 1024;

//! Returns answers whose status is no HTTP status, with a body and without, and
//! with and without a declared length. `fields` are added to their heads.
inline std::vector<std::string> AnswersWithoutStatus(
    const std::string& fields = "") {
  std::vector<std::string> answers;
  for (const char* status : {"000", "099", "600", "999"}) {
    for (const char* rest :
         {"Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok",
          "\r\n"}) {
      answers.push_back("HTTP/1.1 " + std::string(status) + " X\r\n" + fields +
                        rest);
    }
  }
  return answers;
}

}  // namespace tamarackwing::http
