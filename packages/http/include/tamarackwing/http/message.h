#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackwing::http {

//! One header field.
struct Header {
  std::string name;
  std::string value;
};

//! Header fields in their order.
class Headers {
 public:
  //! Adds a field. Not thread-safe.
  void Add(std::string name, std::string value);
  //! The value of the first field of that name, whatever its case.
  std::optional<std::string_view> Find(std::string_view name) const;
  //! How many fields have that name.
  std::size_t Count(std::string_view name) const;
  //! All fields in their order.
  const std::vector<Header>& All() const { return this->fields; }

 private:
  std::vector<Header> fields;
};

//! Whether two field names are the same, whatever their case.
bool EqualFieldNames(std::string_view left, std::string_view right);

//! The head of a request.
struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;
  //! The length of the body where the head declares one.
  std::optional<std::uint64_t> content_length;
};

//! A whole request.
struct Request {
  RequestHead head;
  std::string body;
};

//! The head of a response.
struct ResponseHead {
  unsigned status = 0;
  Headers headers;
};

//! A whole response.
struct Response {
  ResponseHead head;
  std::string body;
};

//! A response with a body of that content type.
Response MakeResponse(unsigned status,
                      std::string_view content_type,
                      std::string body);

}  // namespace tamarackwing::http
