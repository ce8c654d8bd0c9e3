#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackwing::gateway {

//! Cuts a stream of server-sent events into whole events, so that a stream can
//! be resumed without a lost or doubled one. Not thread-safe.
class EventSplitter {
 public:
  //! Adds bytes and returns the whole events that are now complete.
  std::string Add(std::string_view bytes);
  //! Whole events returned so far.
  std::uint64_t Events() const { return this->events; }
  //! Forgets the bytes of an event that is not whole.
  void DropRest();
  //! The bytes held.
  std::string TakeRest();

 private:
  std::string rest;
  std::uint64_t events = 0;
};

}  // namespace tamarackwing::gateway
