#include "tamarackwing/state/journal.h"

#include <boost/crc.hpp>
#include <cstring>
#include <optional>
#include <utility>

namespace tamarackwing::state {
namespace {

//! A frame's header: length, checksum of the length, checksum of the record.
constexpr std::size_t kHeaderBytes = 3 * sizeof(std::uint32_t);

std::uint32_t Crc32c(std::string_view bytes) {
  constexpr std::uint32_t kPolynomial = 0x1EDC6F41;
  constexpr std::uint32_t kOnes = 0xFFFFFFFF;
  boost::crc_optimal<32, kPolynomial, kOnes, kOnes, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AddNumber(std::string& bytes, std::uint32_t number) {
  constexpr unsigned kByteBits = 8;
  for (unsigned i = 0; i < sizeof(number); ++i) {
    bytes.push_back(static_cast<char>((number >> (kByteBits * i)) & 0xff));
  }
}

std::uint32_t ReadNumber(std::string_view bytes) {
  constexpr unsigned kByteBits = 8;
  std::uint32_t number = 0;
  for (unsigned i = 0; i < sizeof(number); ++i) {
    number |= std::uint32_t{static_cast<unsigned char>(bytes[i])}
              << (kByteBits * i);
  }
  return number;
}

//! Returns the record whose frame starts at `offset`; nullopt if there is no
//! intact frame.
std::optional<std::string_view> RecordAt(std::string_view bytes,
                                         std::uint64_t offset) {
  if (bytes.size() - offset < kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view header = bytes.substr(offset, kHeaderBytes);
  const std::uint32_t length = ReadNumber(header);
  const std::uint32_t length_crc = ReadNumber(header.substr(4));
  if (Crc32c(header.substr(0, 4)) != length_crc ||
      bytes.size() - offset - kHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view record = bytes.substr(offset + kHeaderBytes, length);
  if (Crc32c(record) != ReadNumber(header.substr(8))) {
    return std::nullopt;
  }
  return record;
}

bool HasRecordAfter(std::string_view bytes, std::uint64_t offset) {
  for (std::uint64_t at = offset + 1; at + kHeaderBytes <= bytes.size(); ++at) {
    if (RecordAt(bytes, at)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string FrameRecord(std::string_view record) {
  std::string frame;
  frame.reserve(kHeaderBytes + record.size());
  AddNumber(frame, static_cast<std::uint32_t>(record.size()));
  AddNumber(frame, Crc32c(frame));
  AddNumber(frame, Crc32c(record));
  frame += record;
  return frame;
}

Expected<std::vector<std::string>, JournalError> ReadRecords(
    std::string_view bytes,
    std::uint64_t& valid_bytes) {
  std::vector<std::string> records;
  std::uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto record = RecordAt(bytes, offset);
    if (!record) {
      break;
    }
    records.emplace_back(*record);
    offset += kHeaderBytes + record->size();
  }
  valid_bytes = offset;
  if (offset < bytes.size() && HasRecordAfter(bytes, offset)) {
    return unexpected(JournalError{JournalErrorCode::kDamaged, offset});
  }
  return records;
}

Journal::Journal(Disk& disk, std::string name)
    : disk(disk), name(std::move(name)) {}

Expected<std::vector<std::string>, JournalError> Journal::Recover() {
  const auto bytes = this->disk.Read(this->name);
  if (!bytes) {
    if (bytes.error() == DiskError::kNotFound) {
      return std::vector<std::string>();
    }
    return unexpected(ToJournalError(bytes.error()));
  }
  std::uint64_t valid_bytes = 0;
  auto records = ReadRecords(*bytes, valid_bytes);
  if (records && valid_bytes < bytes->size()) {
    const auto truncated = this->disk.Truncate(this->name, valid_bytes);
    if (!truncated) {
      return unexpected(ToJournalError(truncated.error()));
    }
  }
  return records;
}

Expected<void, JournalError> Journal::Append(
    const std::vector<std::string>& records) {
  std::string bytes;
  for (const std::string& record : records) {
    bytes += FrameRecord(record);
  }
  auto written = this->disk.Append(this->name, bytes);
  if (written) {
    written = this->disk.Sync(this->name);
  }
  if (!written) {
    return unexpected(ToJournalError(written.error()));
  }
  return {};
}

Expected<void, JournalError> Journal::Rewrite(
    const std::vector<std::string>& records) {
  std::string bytes;
  for (const std::string& record : records) {
    bytes += FrameRecord(record);
  }
  const auto replaced = this->disk.Replace(this->name, bytes);
  if (!replaced) {
    return unexpected(ToJournalError(replaced.error()));
  }
  return {};
}

JournalError ToJournalError(DiskError error) {
  switch (error) {
    case DiskError::kFull:
      return {JournalErrorCode::kDiskFull, 0};
    case DiskError::kSyncFailed:
      return {JournalErrorCode::kSyncFailed, 0};
    case DiskError::kNotFound:
    case DiskError::kOther:
      break;
  }
  return {JournalErrorCode::kDiskFailed, 0};
}

}  // namespace tamarackwing::state
