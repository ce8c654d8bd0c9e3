#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/stream_origin.h"

namespace tamarackwing::gateway {

//! Returns the digest that identifies the stream that an attempt of a
//! workspace's caller began. Thread safety: reentrant.
std::uint64_t DigestStream(const WorkspaceName& workspace,
                           const std::string& attempt);

//! Where streams began, on this host and on others that told it: a caller may
//! go on with a stream at any host. Bounded; streams are forgotten some time
//! after the last word about them.
//! Thread safety: callable from any thread.
class StreamOrigins {
 public:
  using Callback = std::function<void(std::optional<policy::StreamOrigin>)>;
  //! The other hosts that keep a stream's origin.
  struct Keepers {
    std::function<void(const policy::StreamBegun&)> tell;
    //! The callback is called once, from any thread.
    std::function<void(std::uint64_t stream, Callback)> ask;
  };

  //! Time since the last word about a stream after which it is forgotten.
  static constexpr std::chrono::seconds kLife{120};
  //! Max streams that are remembered.
  static constexpr std::size_t kMaxStreams = 65'536;

  //! Precondition: `clock` outlives the object.
  explicit StreamOrigins(const Clock& clock);

  //! Precondition: called before traffic starts.
  void SetKeepers(Keepers others);
  //! Records where a stream of this host began and tells its keepers. To be
  //! repeated within kLife while the stream goes on.
  void NoteBegun(std::uint64_t stream, const policy::StreamOrigin& origin);
  //! Records what another host told.
  void Keep(const policy::StreamBegun& begun);
  //! Returns what this host knows.
  std::optional<policy::StreamOrigin> Known(std::uint64_t stream);
  //! Passes what this host or a keeper knows to the callback.
  void Find(std::uint64_t stream, Callback callback);
  //! Returns the number of streams that are remembered.
  std::size_t Size() const;

 private:
  //! Forgets old streams. Precondition: `mutex` is locked.
  void Expire(TimePoint now);

  struct Entry {
    policy::StreamOrigin origin;
    TimePoint heard;
  };

  const Clock& clock;
  Keepers keepers;
  mutable std::mutex mutex;
  std::unordered_map<std::uint64_t, Entry> origins;
  //! Each word about a stream, oldest first.
  std::deque<std::pair<TimePoint, std::uint64_t>> order;
};

}  // namespace tamarackwing::gateway
