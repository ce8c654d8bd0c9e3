#include "tamarackwing/gateway/stream_origins.h"

#include <utility>

#include "tamarackwing/base/digest.h"

namespace tamarackwing::gateway {
std::uint64_t DigestStream(const WorkspaceName& workspace,
                           const std::string& attempt) {
  std::string identity = workspace.Text();
  identity.push_back('\0');
  identity += attempt;
  return Sha256Prefix(identity);
}

StreamOrigins::StreamOrigins(const Clock& clock) : clock(clock) {}

void StreamOrigins::SetKeepers(Keepers others) {
  this->keepers = std::move(others);
}

void StreamOrigins::NoteBegun(std::uint64_t stream,
                              const policy::StreamOrigin& origin) {
  const policy::StreamBegun begun{stream, origin};
  this->Keep(begun);
  if (this->keepers.tell) {
    this->keepers.tell(begun);
  }
}

void StreamOrigins::Keep(const policy::StreamBegun& begun) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  // The first word stands: an attempt begins one stream.
  const auto entry =
      this->origins.try_emplace(begun.stream, Entry{begun.origin, now}).first;
  entry->second.heard = now;
  this->order.emplace_back(now, begun.stream);
  this->Expire(now);
}

std::optional<policy::StreamOrigin> StreamOrigins::Known(std::uint64_t stream) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->origins.find(stream);
  if (found == this->origins.end()) {
    return std::nullopt;
  }
  return found->second.origin;
}

void StreamOrigins::Find(std::uint64_t stream, Callback callback) {
  auto known = this->Known(stream);
  if (known || !this->keepers.ask) {
    callback(std::move(known));
    return;
  }
  this->keepers.ask(stream, std::move(callback));
}

std::size_t StreamOrigins::Size() const {
  const std::lock_guard lock(this->mutex);
  return this->origins.size();
}

void StreamOrigins::Expire(TimePoint now) {
  while (!this->order.empty() && (this->order.size() > kMaxStreams ||
                                  now - this->order.front().first > kLife)) {
    const auto [at, stream] = this->order.front();
    this->order.pop_front();
    const auto entry = this->origins.find(stream);
    if (entry != this->origins.end() && entry->second.heard == at) {
      this->origins.erase(entry);
    }
  }
}

}  // namespace tamarackwing::gateway
