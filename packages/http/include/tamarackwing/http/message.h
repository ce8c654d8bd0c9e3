#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackwing::http {

//! Header field.
struct Header {
  std::string name;
  std::string value;
};

//! Header fields in the order in which they were added.
//! Thread safety: as for a standard container.
class Headers {
 public:
  //! Appends a field.
  void Add(std::string name, std::string value);
  //! Returns the value of the first field named `name`, ignoring case.
  std::optional<std::string_view> Find(std::string_view name) const;
  //! Returns the number of fields named `name`, ignoring case.
  std::size_t Count(std::string_view name) const;
  //! Returns all fields in the order in which they were added.
  const std::vector<Header>& All() const { return this->fields; }

 private:
  std::vector<Header> fields;
};

//! Returns whether two field names are equal, ignoring ASCII case.
bool EqualFieldNames(std::string_view left, std::string_view right);

//! Request line and header fields.
struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;
  //! Length of the body in bytes, if the head declares one.
  std::optional<std::uint64_t> content_length;
};

//! Complete request.
struct Request {
  RequestHead head;
  std::string body;
};

//! Status and header fields of a response.
struct ResponseHead {
  unsigned status = 0;
  Headers headers;
};

//! Complete response.
struct Response {
  ResponseHead head;
  std::string body;
};

//! Returns a response with the given body and its `Content-Type`.
Response MakeResponse(unsigned status,
                      std::string_view content_type,
                      std::string body);

}  // namespace tamarackwing::http
