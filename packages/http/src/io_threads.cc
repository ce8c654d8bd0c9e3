#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::http {

IoThreads::IoThreads(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    auto context = std::make_unique<asio::io_context>(1);
    this->guards.push_back(asio::make_work_guard(*context));
    this->threads.emplace_back([context = context.get()] { context->run(); });
    this->contexts.push_back(std::move(context));
  }
}

IoThreads::~IoThreads() {
  this->Stop();
}

asio::io_context& IoThreads::Next() {
  asio::io_context& context = *this->contexts[this->next];
  this->next = (this->next + 1) % this->contexts.size();
  return context;
}

void IoThreads::Stop() {
  this->guards.clear();
  for (const auto& context : this->contexts) {
    context->stop();
  }
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace tamarackwing::http
