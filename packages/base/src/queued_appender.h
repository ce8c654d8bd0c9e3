#pragma once

#include <log4cplus/appender.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace tamarackwing {

//! A log4cplus appender that queues log lines and writes them to standard
//! output from its own thread, so that logging never blocks on a slow reader.
//! Lines that exceed the queue's limit are dropped; their number is logged with
//! the next batch.
class QueuedAppender final : public log4cplus::Appender {
 public:
  QueuedAppender();
  ~QueuedAppender() override;

  //! Writes the queued lines and stops the writer thread.
  void close() override;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Run();

  std::mutex queue_mutex;
  std::condition_variable wake;
  std::string queue;
  std::size_t dropped = 0;
  bool stopping = false;
  std::thread writer;
};

}  // namespace tamarackwing
