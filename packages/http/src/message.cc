#include "tamarackwing/http/message.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::http {
namespace {

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualFieldNames(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

void Headers::Add(std::string name, std::string value) {
  this->fields.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const Header& field : this->fields) {
    if (EqualFieldNames(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t Headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      this->fields.begin(), this->fields.end(),
      [&](const Header& field) { return EqualFieldNames(field.name, name); }));
}

Response MakeResponse(unsigned status,
                      std::string_view content_type,
                      std::string body) {
  Response response;
  response.head.status = status;
  response.head.headers.Add("Content-Type", std::string(content_type));
  response.body = std::move(body);
  return response;
}

}  // namespace tamarackwing::http
