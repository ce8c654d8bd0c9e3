#include "tamarackwing/base/span.h"

#include <nlohmann/json.hpp>

namespace tamarackwing {
namespace {

std::string UnixNanoseconds(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

}  // namespace

SpanFile::SpanFile(const std::string& path) {
  if (!path.empty()) {
    this->file.open(path, std::ios::app);
  }
}

void SpanFile::Write(const Span& span) {
  if (!this->file.is_open()) {
    return;
  }
  nlohmann::ordered_json line;
  line["traceId"] = span.context.trace_id;
  line["spanId"] = span.context.span_id;
  line["parentSpanId"] = span.parent_span_id;
  line["name"] = span.name;
  line["startTimeUnixNano"] = UnixNanoseconds(span.start);
  line["endTimeUnixNano"] = UnixNanoseconds(span.end);
  line["attributes"] = {{"workspace", span.workspace},
                        {"peer", span.peer},
                        {"outcome", span.outcome}};
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const std::lock_guard lock(this->mutex);
  this->file << text << '\n' << std::flush;
}

}  // namespace tamarackwing
