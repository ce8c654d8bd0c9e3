#include "tamarackwing/config/fault.h"

namespace tamarackwing::config {

std::string_view FaultName(FaultCode code) {
  switch (code) {
    case FaultCode::kDuplicateName:
      return "duplicate_name";
    case FaultCode::kEmptyName:
      return "empty_name";
    case FaultCode::kInvalidDigest:
      return "invalid_digest";
    case FaultCode::kKeyWithdrawn:
      return "key_withdrawn";
    case FaultCode::kMissingField:
      return "missing_field";
    case FaultCode::kNoCommonRegion:
      return "no_common_region";
    case FaultCode::kNoDiskHost:
      return "no_disk_host";
    case FaultCode::kNotToml:
      return "not_toml";
    case FaultCode::kOutOfRange:
      return "out_of_range";
    case FaultCode::kUnknownField:
      return "unknown_field";
    case FaultCode::kUnknownReference:
      return "unknown_reference";
    case FaultCode::kUnknownRegion:
      return "unknown_region";
    case FaultCode::kWrongType:
      return "wrong_type";
  }
  return "unknown";
}

}  // namespace tamarackwing::config
