#include "tamarackwing/state/control_change.h"

#include <cstddef>
#include <utility>

#include "internal/json_codec.h"
#include "tamarackwing/state/packed.h"

namespace tamarackwing::state {
namespace {

using nlohmann::json;

//! Decodes the alternative with index `wanted`.
template <std::size_t I = 0>
ControlChange ReadAlternative(std::size_t wanted, const json& body) {
  if constexpr (I + 1 < std::variant_size_v<ControlChange>) {
    if (wanted != I) {
      return ReadAlternative<I + 1>(wanted, body);
    }
  }
  return body.get<std::variant_alternative_t<I, ControlChange>>();
}

json ChangeDocument(const ControlChange& change) {
  json document = json::array({change.index()});
  std::visit([&](const auto& value) { document.push_back(value); }, change);
  return document;
}

std::string Bytes(const json& document) {
  std::string payload;
  json::to_cbor(document, payload);
  return payload;
}

}  // namespace

std::string EncodeChange(const ControlChange& change) {
  return Bytes(ChangeDocument(change));
}

std::string EncodeProposal(const ControlChange& change,
                           const ProposalId& proposal) {
  json document = ChangeDocument(change);
  document[1]["proposal"] = {proposal.host, proposal.incarnation,
                             proposal.number};
  return Bytes(document);
}

Expected<ControlChange, DecodeError> DecodeChange(std::string_view payload) {
  try {
    // Lengths beyond all memory are thrown even if exceptions are turned off.
    const auto unpacked = Unpack(payload);
    if (!unpacked) {
      return unexpected(DecodeError::kMalformed);
    }
    const json document = json::from_cbor(*unpacked, true, false);
    if (!document.is_array() || document.size() != 2 ||
        !document[0].is_number_unsigned() ||
        document[0].get<std::size_t>() >= std::variant_size_v<ControlChange>) {
      return unexpected(DecodeError::kMalformed);
    }
    return ReadAlternative(document[0].get<std::size_t>(), document[1]);
  } catch (const json::exception&) {
    return unexpected(DecodeError::kMalformed);
  }
}

}  // namespace tamarackwing::state
