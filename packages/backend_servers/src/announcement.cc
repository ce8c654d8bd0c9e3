#include "tamarackwing/backend_servers/announcement.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace tamarackwing::backend_servers {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxSlots = 65'536;
constexpr std::int64_t kMaxQueued = 1'000'000;
constexpr std::int64_t kMaxAgeMs = 600'000;
constexpr std::size_t kMaxTargets = 256;
constexpr std::size_t kMaxPrefixes = 4096;
constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxRate = 1e9;

//! Reads the fields of a JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const json& document) : document(document) {}

  std::string Text(const char* name) {
    const auto field = this->document.find(name);
    if (field == this->document.end() || !field->is_string()) {
      this->Fail(AnnouncementError::kMissingField);
      return {};
    }
    std::string value = field->get<std::string>();
    if (value.empty() || value.size() > kMaxNameBytes) {
      this->Fail(AnnouncementError::kOutOfRange);
    }
    return value;
  }

  std::int64_t Number(const char* name,
                      std::int64_t min_value,
                      std::int64_t max_value) {
    const auto field = this->document.find(name);
    if (field == this->document.end() || !field->is_number_integer()) {
      this->Fail(AnnouncementError::kMissingField);
      return min_value;
    }
    const auto value = field->get<std::int64_t>();
    if (value < min_value || value > max_value) {
      this->Fail(AnnouncementError::kOutOfRange);
      return min_value;
    }
    return value;
  }

  double Rate(const char* name) {
    const auto field = this->document.find(name);
    if (field == this->document.end()) {
      return 0;
    }
    const double value = field->is_number() ? field->get<double>() : -1;
    if (!(value >= 0 && value <= kMaxRate)) {
      this->Fail(AnnouncementError::kOutOfRange);
      return 0;
    }
    return value;
  }

  bool Flag(const char* name) {
    const auto field = this->document.find(name);
    return field != this->document.end() && field->is_boolean() &&
           field->get<bool>();
  }

  std::vector<std::string> Texts(const char* name) {
    std::vector<std::string> values;
    const auto field = this->document.find(name);
    if (field == this->document.end() || !field->is_array() || field->empty() ||
        field->size() > kMaxTargets) {
      this->Fail(AnnouncementError::kMissingField);
      return values;
    }
    for (const json& element : *field) {
      if (!element.is_string()) {
        this->Fail(AnnouncementError::kOutOfRange);
        continue;
      }
      values.push_back(element.get<std::string>());
    }
    return values;
  }

  void Fail(AnnouncementError value) {
    if (!this->error) {
      this->error = value;
    }
  }

  const std::optional<AnnouncementError>& Error() const { return this->error; }

 private:
  const json& document;
  std::optional<AnnouncementError> error;
};

}  // namespace

Expected<policy::ServerReport, AnnouncementError> ParseAnnouncement(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return unexpected(AnnouncementError::kNotJson);
  }
  FieldReader reader(document);
  policy::ServerReport report;
  report.name = BackendServerName(reader.Text("name"));
  report.region = RegionName(reader.Text("region"));
  report.data_centre = DataCentreName(reader.Text("data_centre"));
  report.address = reader.Text("address");
  report.port = static_cast<std::uint16_t>(reader.Number("port", 1, 65535));
  report.targets = reader.Texts("targets");
  report.slots =
      static_cast<std::uint32_t>(reader.Number("slots", 1, kMaxSlots));
  report.running =
      static_cast<std::uint32_t>(reader.Number("running", 0, kMaxQueued));
  report.queued =
      static_cast<std::uint32_t>(reader.Number("queued", 0, kMaxQueued));
  report.prefill_rate = reader.Rate("prefill_rate");
  report.decode_rate = reader.Rate("decode_rate");
  report.age = std::chrono::milliseconds(reader.Number("age_ms", 0, kMaxAgeMs));
  report.leaving = reader.Flag("leaving");
  if (reader.Error()) {
    return unexpected(*reader.Error());
  }
  return report;
}

Expected<CacheEvents, AnnouncementError> ParseCacheEvents(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return unexpected(AnnouncementError::kNotJson);
  }
  FieldReader reader(document);
  CacheEvents events;
  events.server = BackendServerName(reader.Text("name"));
  const auto prefixes = document.find("prefixes");
  if (prefixes == document.end() || !prefixes->is_array()) {
    return unexpected(AnnouncementError::kMissingField);
  }
  if (prefixes->size() > kMaxPrefixes) {
    return unexpected(AnnouncementError::kOutOfRange);
  }
  for (const json& prefix : *prefixes) {
    if (!prefix.is_number_unsigned()) {
      return unexpected(AnnouncementError::kOutOfRange);
    }
    events.prefixes.push_back(prefix.get<std::uint64_t>());
  }
  if (reader.Error()) {
    return unexpected(*reader.Error());
  }
  return events;
}

}  // namespace tamarackwing::backend_servers
