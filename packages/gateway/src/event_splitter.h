#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackwing::gateway {

//! Splits a stream of server-sent events into complete events, so that it can
//! be resumed without losing or duplicating one. Not thread-safe.
class EventSplitter {
 public:
  //! Adds bytes and returns the events that are now complete.
  std::string Add(std::string_view bytes);
  //! Returns the number of complete events returned so far.
  std::uint64_t Events() const { return this->events; }
  //! Discards the bytes of an incomplete event.
  void DropRest();
  //! Returns and clears the bytes of an incomplete event.
  std::string TakeRest();

 private:
  std::string rest;
  std::uint64_t events = 0;
};

}  // namespace tamarackwing::gateway
