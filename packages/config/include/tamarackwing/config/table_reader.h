#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/config/fault.h"
#include "tamarackwing/config/toml.h"

namespace tamarackwing::config {

//! A reader of the fields of one TOML table. It adds a fault with its line for
//! every invalid field and continues. Not thread-safe.
class TableReader {
 public:
  //! Preconditions: `table` and `faults` outlive the reader.
  TableReader(const toml::table& table, std::string path, Faults& faults);

  //! Returns whether `field` is present, whatever its type.
  bool Has(std::string_view field) const;
  //! Reads a string; returns an empty one if it is missing or not a string. A
  //! required string must not be empty.
  std::string Text(std::string_view field, bool required);
  //! Reads an integer in [`min_value`, `max_value`]; returns `default_value` if
  //! it is missing or invalid.
  std::int64_t Number(std::string_view field,
                      std::int64_t min_value,
                      std::int64_t max_value,
                      std::int64_t default_value,
                      bool required);
  //! Reads an optional integer, or a number with a fraction, rounded down, in
  //! [`min_value`, `max_value`]; returns `default_value` if it is missing or
  //! invalid.
  std::int64_t RoundedDown(std::string_view field,
                           std::int64_t min_value,
                           std::int64_t max_value,
                           std::int64_t default_value);
  //! Reads an optional boolean; returns `default_value` if it is missing or
  //! invalid.
  bool Flag(std::string_view field, bool default_value);
  //! Reads a required, non-empty array of non-empty strings; leaves out invalid
  //! elements.
  std::vector<std::string> Texts(std::string_view field);
  //! Returns a reader of a nested table, or nothing if the field is missing or
  //! not a table.
  std::optional<TableReader> Table(std::string_view field, bool required);
  //! Returns readers of the tables in an optional array; leaves out elements
  //! that are not tables.
  std::vector<TableReader> Tables(std::string_view field);
  //! Adds a fault for each field that is not in `known`.
  void RejectUnknownFields(std::initializer_list<std::string_view> known);
  //! Adds a fault at a field, or at the table's line if the field is missing.
  void AddFault(FaultCode code, std::string_view field);
  //! Returns the line on which the table starts.
  std::uint32_t Line() const;
  //! Returns the path of the table in the document; empty for the root.
  const std::string& Path() const { return this->path; }

 private:
  const toml::node* Find(std::string_view field, bool required);
  void AddNodeFault(FaultCode code,
                    std::string_view field,
                    const toml::node& node);
  std::string PathOf(std::string_view field) const;

  const toml::table* table;
  std::string path;
  Faults* faults;
};

//! Parses a document. Fails with one fault, a kNotToml with its line, if the
//! syntax is invalid.
//! Thread safety: reentrant.
Expected<toml::table, Faults> ParseDocument(std::string_view text);

}  // namespace tamarackwing::config
