#include "tamarackwing/config/table_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace tamarackwing::config {

TableReader::TableReader(const toml::table& table,
                         std::string path,
                         Faults& faults)
    : table(&table), path(std::move(path)), faults(&faults) {}

bool TableReader::Has(std::string_view field) const {
  return this->table->contains(field);
}

std::string TableReader::Text(std::string_view field, bool required) {
  const toml::node* node = this->Find(field, required);
  if (node == nullptr) {
    return {};
  }
  const auto value = node->value_exact<std::string>();
  if (!value) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
    return {};
  }
  if (value->empty() && required) {
    this->AddNodeFault(FaultCode::kEmptyName, field, *node);
  }
  return *value;
}

std::int64_t TableReader::Number(std::string_view field,
                                 std::int64_t min_value,
                                 std::int64_t max_value,
                                 std::int64_t default_value,
                                 bool required) {
  const toml::node* node = this->Find(field, required);
  if (node == nullptr) {
    return default_value;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
    return default_value;
  }
  if (*value < min_value || *value > max_value) {
    this->AddNodeFault(FaultCode::kOutOfRange, field, *node);
    return default_value;
  }
  return *value;
}

std::int64_t TableReader::RoundedDown(std::string_view field,
                                      std::int64_t min_value,
                                      std::int64_t max_value,
                                      std::int64_t default_value) {
  const toml::node* node = this->Find(field, false);
  const auto value =
      node == nullptr ? std::nullopt : node->value_exact<double>();
  if (!value) {
    return this->Number(field, min_value, max_value, default_value, false);
  }
  // NaN is in no range either.
  const bool is_in_range = *value >= static_cast<double>(min_value) &&
                           *value <= static_cast<double>(max_value);
  if (!is_in_range) {
    this->AddNodeFault(FaultCode::kOutOfRange, field, *node);
    return default_value;
  }
  return static_cast<std::int64_t>(std::floor(*value));
}

bool TableReader::Flag(std::string_view field, bool default_value) {
  const toml::node* node = this->Find(field, false);
  if (node == nullptr) {
    return default_value;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
  }
  return value.value_or(default_value);
}

std::vector<std::string> TableReader::Texts(std::string_view field) {
  std::vector<std::string> texts;
  const toml::node* node = this->Find(field, true);
  if (node == nullptr) {
    return texts;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr || list->empty()) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
    return texts;
  }
  for (const toml::node& element : *list) {
    const auto text = element.value_exact<std::string>();
    if (!text || text->empty()) {
      this->AddNodeFault(FaultCode::kWrongType, field, element);
      continue;
    }
    texts.push_back(*text);
  }
  return texts;
}

std::optional<TableReader> TableReader::Table(std::string_view field,
                                              bool required) {
  const toml::node* node = this->Find(field, required);
  if (node == nullptr) {
    return std::nullopt;
  }
  const toml::table* inner = node->as_table();
  if (inner == nullptr) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
    return std::nullopt;
  }
  return TableReader(*inner, this->PathOf(field), *this->faults);
}

std::vector<TableReader> TableReader::Tables(std::string_view field) {
  std::vector<TableReader> readers;
  const toml::node* node = this->Find(field, false);
  if (node == nullptr) {
    return readers;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    this->AddNodeFault(FaultCode::kWrongType, field, *node);
    return readers;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const toml::node& element = (*list)[i];
    const std::string element_path =
        std::string(field) + "." + std::to_string(i);
    const toml::table* inner = element.as_table();
    if (inner == nullptr) {
      this->AddNodeFault(FaultCode::kWrongType, element_path, element);
      continue;
    }
    readers.push_back(
        TableReader(*inner, this->PathOf(element_path), *this->faults));
  }
  return readers;
}

void TableReader::RejectUnknownFields(
    std::initializer_list<std::string_view> known) {
  for (const auto& [field, node] : *this->table) {
    const std::string_view name = field.str();
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      this->AddNodeFault(FaultCode::kUnknownField, name, node);
    }
  }
}

void TableReader::AddFault(FaultCode code, std::string_view field) {
  const toml::node* node = this->table->get(field);
  if (node != nullptr) {
    this->AddNodeFault(code, field, *node);
    return;
  }
  this->faults->push_back({code, this->PathOf(field), this->Line(), {}});
}

std::uint32_t TableReader::Line() const {
  return this->table->source().begin.line;
}

const toml::node* TableReader::Find(std::string_view field, bool required) {
  const toml::node* node = this->table->get(field);
  if (node == nullptr && required) {
    this->AddFault(FaultCode::kMissingField, field);
  }
  return node;
}

void TableReader::AddNodeFault(FaultCode code,
                               std::string_view field,
                               const toml::node& node) {
  std::ostringstream found;
  node.visit([&](const auto& value) { found << value; });
  this->faults->push_back(
      {code, this->PathOf(field), node.source().begin.line, found.str()});
}

std::string TableReader::PathOf(std::string_view field) const {
  return this->path.empty() ? std::string(field)
                            : this->path + "." + std::string(field);
}

Expected<toml::table, Faults> ParseDocument(std::string_view text) {
  toml::parse_result document = toml::parse(text);
  if (!document) {
    const toml::parse_error& error = document.error();
    return unexpected(
        Faults{{FaultCode::kNotToml, "", error.source().begin.line,
                std::string(error.description())}});
  }
  return std::move(document).table();
}

}  // namespace tamarackwing::config
