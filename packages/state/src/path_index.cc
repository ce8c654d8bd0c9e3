#include "tamarackwing/state/path_index.h"

#include <algorithm>

namespace tamarackwing::state {

PathIndex::PathIndex(const ConfigurationSet& set) {
  for (const auto& [name, route] : set.path_routes) {
    this->authorities[route.authority].emplace(route.prefix, route);
    const bool has_target =
        route.kind == PathKind::kStream && route.target_latency.count() > 0;
    for (const ServiceShare& share : route.services) {
      if (has_target) {
        const auto known =
            this->stream_targets.emplace(share.service, route.target_latency);
        known.first->second =
            std::min(known.first->second, route.target_latency);
      }
    }
  }
}

std::chrono::milliseconds PathIndex::StreamTarget(
    const ServiceName& service) const {
  const auto found = this->stream_targets.find(service);
  return found == this->stream_targets.end() ? std::chrono::milliseconds(0)
                                             : found->second;
}

const PathRoute* PathIndex::Find(std::string_view authority,
                                 std::string_view path) const {
  const auto prefixes = this->authorities.find(authority);
  if (prefixes == this->authorities.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only prefixes of the path up to one of its
  // slashes can match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = prefixes->second.find(path.substr(0, end + 1));
    if (found != prefixes->second.end()) {
      return &found->second;
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

}  // namespace tamarackwing::state
