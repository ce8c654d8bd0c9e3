#include "event_splitter.h"

#include <utility>

namespace tamarackwing::gateway {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  const std::size_t searched = this->rest.empty() ? 0 : this->rest.size() - 1;
  this->rest += bytes;
  std::size_t end = 0;
  std::size_t from = searched;
  while (true) {
    const std::size_t found = this->rest.find(kEventEnd, from);
    if (found == std::string::npos) {
      break;
    }
    end = found + kEventEnd.size();
    from = end;
    this->events += 1;
  }
  std::string complete = this->rest.substr(0, end);
  this->rest.erase(0, end);
  return complete;
}

void EventSplitter::DropRest() {
  this->rest.clear();
}

std::string EventSplitter::TakeRest() {
  return std::exchange(this->rest, {});
}

}  // namespace tamarackwing::gateway
