#include "event_splitter.h"

namespace tamarackwing::gateway {
namespace {

constexpr std::string_view kLineBreaks = "\r\n";

//! Returns the position after the first empty line that follows a line, or
//! npos. `from` is where to begin to search.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  std::size_t line_end = text.find('\n', from);
  while (line_end != std::string_view::npos) {
    const std::string_view next = text.substr(line_end + 1);
    if (next.starts_with("\n")) {
      return line_end + 2;
    }
    if (next.starts_with("\r\n")) {
      return line_end + 3;
    }
    line_end = text.find('\n', line_end + 1);
  }
  return std::string_view::npos;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // An event end that is still incomplete has at most two bytes in `rest`.
  const std::size_t searched =
      this->rest.size() < 2 ? 0 : this->rest.size() - 2;
  this->rest += bytes;
  std::size_t end = 0;
  std::size_t from = searched;
  while (true) {
    const std::size_t found = FindEventEnd(this->rest, from);
    if (found == std::string::npos) {
      break;
    }
    end = found;
    from = end;
    this->events += 1;
  }
  std::string complete = this->rest.substr(0, end);
  this->rest.erase(0, end);
  return complete;
}

bool EventSplitter::IsBetweenEvents() const {
  return this->rest.find_first_not_of(kLineBreaks) == std::string::npos;
}

void EventSplitter::DropRest() {
  this->rest.clear();
}

}  // namespace tamarackwing::gateway
