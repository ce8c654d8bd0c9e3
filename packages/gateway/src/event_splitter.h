#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackwing::gateway {

//! Splits a stream of server-sent events into complete events, so that it can
//! be resumed without losing or duplicating one. Events end with an empty line;
//! lines end with LF or CRLF. Not thread-safe.
class EventSplitter {
 public:
  //! Adds bytes and returns the events that are now complete.
  std::string Add(std::string_view bytes);
  //! Returns the number of complete events returned so far.
  std::uint64_t Events() const { return this->events; }
  //! Discards the bytes of an incomplete event.
  void DropRest();
  //! Returns whether the bytes so far end with a complete event. A stream that
  //! ends elsewhere was broken off.
  bool IsBetweenEvents() const;
  //! Returns the number of bytes of the incomplete event.
  std::size_t RestBytes() const { return this->rest.size(); }

 private:
  std::string rest;
  std::uint64_t events = 0;
};

}  // namespace tamarackwing::gateway
