#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace tamarackwing {

//! A string identifier of the kind of object given by `Tag`. Identifiers of
//! different kinds are different types.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text(std::move(text)) {}

  //! Returns the identifier's text. Thread safety: as for a const std::string.
  const std::string& Text() const { return this->text; }
  //! Returns whether the identifier is unset.
  bool IsEmpty() const { return this->text.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend bool operator==(const StrongId&, const StrongId&) = default;

 private:
  std::string text;
};

}  // namespace tamarackwing

template <typename Tag>
struct std::hash<tamarackwing::StrongId<Tag>> {
  std::size_t operator()(const tamarackwing::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.Text());
  }
};
