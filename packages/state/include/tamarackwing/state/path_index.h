#pragma once

#include <map>
#include <string>
#include <string_view>

#include "tamarackwing/state/configuration_set.h"

namespace tamarackwing::state {

//! Finds the path route of a request. Immutable after it is made.
//! Thread safety: callable from any thread.
class PathIndex {
 public:
  PathIndex() = default;
  //! Indexes the path routes of a set.
  explicit PathIndex(const ConfigurationSet& set);

  //! The route of that authority with the longest prefix that begins `path`;
  //! null where there is none. Precondition: `path` has no query.
  const PathRoute* Find(std::string_view authority,
                        std::string_view path) const;

  //! The shortest target latency of the streams of a service; zero where none
  //! names one.
  std::chrono::milliseconds StreamTarget(const ServiceName& service) const;

 private:
  using Prefixes = std::map<std::string, PathRoute, std::less<>>;
  std::map<std::string, Prefixes, std::less<>> authorities;
  std::map<ServiceName, std::chrono::milliseconds> stream_targets;
};

}  // namespace tamarackwing::state
