#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

#include "tamarackwing/base/trace_context.h"

namespace tamarackwing {

//! One hop of a traced request.
struct Span {
  TraceContext context;
  std::string parent_span_id;
  std::string name;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  std::string workspace;
  std::string peer;
  std::string outcome;
};

//! Interface: a destination of finished spans.
class SpanSink {
 public:
  virtual ~SpanSink() = default;
  //! Records one finished span. Thread safety: callable from any thread.
  virtual void Write(const Span& span) = 0;
};

//! Appends spans to a file as JSON lines with OTLP field names. An empty path
//! discards the spans.
class SpanFile final : public SpanSink {
 public:
  explicit SpanFile(const std::string& path);
  void Write(const Span& span) override;

 private:
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace tamarackwing
