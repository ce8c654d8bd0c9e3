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

//! Reads the fields of one TOML table and notes every fault with its line.
//! Not thread-safe.
class TableReader {
 public:
  //! Preconditions: `table` and `faults` outlive the reader.
  TableReader(const toml::table& table, std::string path, Faults& faults);

  //! Whether the table has a field, of whatever type.
  bool Has(std::string_view field) const;
  //! A text; empty where it is missing or wrong.
  std::string Text(std::string_view field, bool required);
  //! A whole number in a range; `otherwise` where it is missing or wrong.
  std::int64_t Number(std::string_view field,
                      std::int64_t least,
                      std::int64_t max_value,
                      std::int64_t otherwise,
                      bool required);
  //! A truth value; `otherwise` where it is missing or wrong.
  bool Flag(std::string_view field, bool otherwise);
  //! A list of texts, with at least one.
  std::vector<std::string> Texts(std::string_view field);
  //! A table below this one; nothing where it is missing or wrong.
  std::optional<TableReader> Table(std::string_view field, bool required);
  //! The tables of a list; empty where it is missing or wrong.
  std::vector<TableReader> Tables(std::string_view field);
  //! Notes every field that is not `known`.
  void RejectUnknownFields(std::initializer_list<std::string_view> known);
  //! Notes a fault at a field.
  void AddFault(FaultCode code, std::string_view field);
  //! The line on which the table starts.
  std::uint32_t Line() const;
  //! The path of the table.
  const std::string& Path() const { return this->path; }

 private:
  const toml::node* Find(std::string_view field, bool required);
  void NoteNode(FaultCode code, std::string_view field, const toml::node& node);
  std::string PathOf(std::string_view field) const;

  const toml::table* table;
  std::string path;
  Faults* faults;
};

//! Parses a document; on failure the one fault with its line.
//! Thread safety: reentrant.
Expected<toml::table, Faults> ParseDocument(std::string_view text);

}  // namespace tamarackwing::config
