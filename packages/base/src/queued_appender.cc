#include "queued_appender.h"

#include <log4cplus/layout.h>
#include <unistd.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace tamarackwing {
namespace {

//! Maximum size of the queue, which grows while the reader of standard output
//! is stalled.
constexpr std::size_t kMaxQueuedBytes = 512 * 1024;
//! Time between writes. Lines are written in batches because waking the writer
//! thread costs more than writing a line.
constexpr std::chrono::milliseconds kWriteInterval{100};

void WriteAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const auto written =
        ::write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (written <= 0) {
      return;
    }
    done += static_cast<std::size_t>(written);
  }
}

}  // namespace

QueuedAppender::QueuedAppender() : writer([this] { this->Run(); }) {}

QueuedAppender::~QueuedAppender() {
  this->destructorImpl();
}

void QueuedAppender::close() {
  {
    const std::lock_guard lock(this->queue_mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  if (this->writer.joinable()) {
    this->writer.join();
  }
  this->closed = true;
}

void QueuedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream line;
  this->layout->formatAndAppend(line, event);
  const std::string text = std::move(line).str();
  const std::lock_guard lock(this->queue_mutex);
  if (this->queue.size() + text.size() > kMaxQueuedBytes) {
    this->dropped += 1;
    return;
  }
  this->queue += text;
}

void QueuedAppender::Run() {
  bool is_last = false;
  while (!is_last) {
    std::string batch;
    {
      std::unique_lock lock(this->queue_mutex);
      this->wake.wait_for(lock, kWriteInterval,
                          [this] { return this->stopping; });
      is_last = this->stopping;
      batch.swap(this->queue);
      if (this->dropped > 0) {
        batch += "{\"name\":\"lines_dropped\",\"count\":" +
                 std::to_string(this->dropped) + "}\n";
        this->dropped = 0;
      }
    }
    WriteAll(batch);
  }
}

}  // namespace tamarackwing
