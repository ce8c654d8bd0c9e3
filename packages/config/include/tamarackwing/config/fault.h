#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackwing::config {

//! What is wrong with one place of a document.
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

//! One fault of a document, with the place where it stands.
struct Fault {
  FaultCode code = FaultCode::kNotToml;
  //! Such as `workspaces.desk.residency`.
  std::string path;
  //! The line of the file, where it is known; zero elsewhere.
  std::uint32_t line = 0;
  //! The value that was found.
  std::string found;

  friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

//! The fault's name, such as `unknown_reference`. Thread safety: reentrant.
std::string_view FaultName(FaultCode code);

}  // namespace tamarackwing::config
