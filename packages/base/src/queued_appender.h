#pragma once

#include <log4cplus/appender.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace tamarackwing {

//! Writes log lines to standard output from a thread of its own, so that who
//! logs never waits for a reader. Lines beyond a bound are dropped; how many is
//! written with the next ones.
class QueuedAppender final : public log4cplus::Appender {
 public:
  QueuedAppender();
  ~QueuedAppender() override;

  //! Writes what is queued and stops.
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
