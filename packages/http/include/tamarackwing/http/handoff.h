#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <utility>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! One-shot channel that passes one value from another thread to a waiting
//! coroutine. Either the coroutine receives the value or Set returns false,
//! never both, so that a slot or a permit cannot be lost when the wait times
//! out while the value is being delivered.
//! Thread safety: Set from any thread; the rest from the executor's thread.
template <typename T>
class Handoff : public std::enable_shared_from_this<Handoff<T>> {
 public:
  explicit Handoff(const asio::any_io_executor& executor) : timer(executor) {}

  //! Delivers the value. Returns false if it was set before or the coroutine no
  //! longer waits for it.
  bool Set(T given) {
    Stage expected = Stage::kWaiting;
    if (!this->stage.compare_exchange_strong(expected, Stage::kSet)) {
      return false;
    }
    asio::post(
        this->timer.get_executor(),
        [self = this->shared_from_this(), given = std::move(given)]() mutable {
          self->value.emplace(std::move(given));
          self->timer.cancel();
        });
    return true;
  }

  //! Ends the wait without a value, unless Set has already succeeded.
  void Interrupt() {
    this->interrupted = true;
    this->timer.cancel();
  }

  //! Waits for the value. Returns nullopt at `deadline` or when interrupted.
  asio::awaitable<std::optional<T>> Wait(TimePoint deadline) {
    while (!this->value) {
      const bool expired =
          this->interrupted || std::chrono::steady_clock::now() >= deadline;
      Stage expected = Stage::kWaiting;
      if (expired &&
          this->stage.compare_exchange_strong(expected, Stage::kAbandoned)) {
        co_return std::nullopt;
      }
      this->timer.expires_at(expired ? TimePoint::max() : deadline);
      boost::system::error_code ignored;
      co_await this->timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(this->value);
  }

 private:
  enum class Stage { kWaiting, kSet, kAbandoned };

  asio::steady_timer timer;
  std::optional<T> value;
  std::atomic<Stage> stage{Stage::kWaiting};
  bool interrupted = false;
};

}  // namespace tamarackwing::http
