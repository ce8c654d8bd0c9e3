#include "tamarackwing/control/feed_buffer.h"

namespace tamarackwing::control {

FeedBuffer::FeedBuffer(std::size_t max_size, std::size_t max_bytes)
    : max_size(max_size), max_bytes(max_bytes) {}

void FeedBuffer::Add(const state::LogEntry& entry) {
  this->entries.push_back(entry);
  this->bytes += entry.payload.size();
  // Keep the newest entry whatever its size: it is about to be sent to the
  // followers.
  while (this->entries.size() > 1 && (this->entries.size() > this->max_size ||
                                      this->bytes > this->max_bytes)) {
    this->bytes -= this->entries.front().payload.size();
    this->entries.pop_front();
  }
}

void FeedBuffer::Clear() {
  this->entries.clear();
  this->bytes = 0;
}

std::optional<std::vector<state::LogEntry>> FeedBuffer::From(
    LogIndex next,
    LogIndex applied,
    std::size_t max_entries) const {
  std::vector<state::LogEntry> found;
  if (next > applied) {
    return found;
  }
  if (this->entries.empty() || next < this->entries.front().index) {
    return std::nullopt;
  }
  const std::size_t start = next - this->entries.front().index;
  for (std::size_t i = start;
       i < this->entries.size() && found.size() < max_entries; ++i) {
    found.push_back(this->entries[i]);
  }
  return found;
}

}  // namespace tamarackwing::control
