#pragma once

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! Pool of traffic threads, each of which runs its own io_context.
class IoThreads {
 public:
  //! Starts the threads. Precondition: `count` is positive.
  explicit IoThreads(std::size_t count);
  //! Stops and joins the threads.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  //! Returns the contexts round-robin. Thread safety: one thread at a time.
  asio::io_context& Next();
  //! Returns all contexts. Thread safety: callable from any thread.
  const std::vector<std::unique_ptr<asio::io_context>>& All() const {
    return this->contexts;
  }
  //! Stops the event loops and joins the threads; a second call does nothing.
  void Stop();

 private:
  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;
  std::vector<std::unique_ptr<asio::io_context>> contexts;
  std::vector<WorkGuard> guards;
  std::vector<std::thread> threads;
  std::size_t next = 0;
};

}  // namespace tamarackwing::http
