#include "tamarackwing/control/feed_buffer.h"

namespace tamarackwing::control {

FeedBuffer::FeedBuffer(std::size_t most) : most(most) {}

void FeedBuffer::Add(const state::LogEntry& entry) {
  this->entries.push_back(entry);
  if (this->entries.size() > this->most) {
    this->entries.pop_front();
  }
}

void FeedBuffer::Clear() {
  this->entries.clear();
}

std::optional<std::vector<state::LogEntry>> FeedBuffer::From(
    LogIndex next,
    LogIndex applied,
    std::size_t most_entries) const {
  std::vector<state::LogEntry> found;
  if (next > applied) {
    return found;
  }
  if (this->entries.empty() || next < this->entries.front().index) {
    return std::nullopt;
  }
  const std::size_t start = next - this->entries.front().index;
  for (std::size_t i = start;
       i < this->entries.size() && found.size() < most_entries; ++i) {
    found.push_back(this->entries[i]);
  }
  return found;
}

}  // namespace tamarackwing::control
