#pragma once

#include <map>
#include <string>
#include <string_view>

#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::state {

//! Index that finds the path route of a request. Immutable once constructed.
//! Thread safety: callable from any thread.
class PathIndex {
 public:
  PathIndex() = default;
  //! Indexes the path routes of a set.
  explicit PathIndex(const ConfigurationSet& set);

  //! Returns the route of `authority` with the longest prefix of `path`; null
  //! if there is none. Precondition: `path` has no query.
  const PathRoute* Find(std::string_view authority,
                        std::string_view path) const;

  //! Returns the minimum latency target of the stream routes that use a
  //! service; zero if none sets a target.
  std::chrono::milliseconds StreamTarget(const ServiceName& service) const;

 private:
  //! Routes by prefix.
  using Prefixes = std::map<std::string, PathRoute, std::less<>>;
  std::map<std::string, Prefixes, std::less<>> authorities;
  std::map<ServiceName, std::chrono::milliseconds> stream_targets;
};

}  // namespace tamarackwing::state
