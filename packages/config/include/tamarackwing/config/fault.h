#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackwing::config {

//! The kind of a validation error in a document.
enum class FaultCode {
  kDuplicateName,
  kEmptyName,
  kInvalidDigest,
  kKeyWithdrawn,
  kMissingField,
  kNoCommonRegion,
  kNoDiskHost,
  kNotToml,
  kOutOfRange,
  kUnknownField,
  kUnknownReference,
  kUnknownRegion,
  kWrongType,
};

//! A validation error in a document, with its location.
struct Fault {
  FaultCode code = FaultCode::kNotToml;
  //! The path of the field or table, such as `workspaces.desk.residency`.
  std::string path;
  //! The line of the document, or zero if it is not known.
  std::uint32_t line = 0;
  //! The value that was found, or a description of the syntax error.
  std::string found;

  friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

//! Returns the code's name in responses and messages, such as
//! `unknown_reference`. Thread safety: reentrant.
std::string_view FaultName(FaultCode code);

}  // namespace tamarackwing::config
