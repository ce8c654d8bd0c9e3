#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <utility>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/http/asio.h"

namespace tamarackwing::http {

//! One value that another thread gives to a waiting coroutine. Either the
//! coroutine gets the value or the giver is told that it has gone, never both:
//! a slot or a permit on its way cannot be lost.
//! Thread safety: Set from any thread; the rest from the executor's thread.
template <typename T>
class Handoff : public std::enable_shared_from_this<Handoff<T>> {
 public:
  explicit Handoff(const asio::any_io_executor& executor) : timer(executor) {}

  //! Gives the value; false where the coroutine no longer waits for it.
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

  //! Ends the wait without a value, unless one is on its way.
  void Interrupt() {
    this->interrupted = true;
    this->timer.cancel();
  }

  //! Waits for the value; nothing at `until` or when interrupted.
  asio::awaitable<std::optional<T>> Wait(TimePoint until) {
    while (!this->value) {
      const bool over =
          this->interrupted || std::chrono::steady_clock::now() >= until;
      Stage expected = Stage::kWaiting;
      if (over &&
          this->stage.compare_exchange_strong(expected, Stage::kAbandoned)) {
        co_return std::nullopt;
      }
      this->timer.expires_at(over ? TimePoint::max() : until);
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
