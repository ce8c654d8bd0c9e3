#include "tamarackwing/callers/model_call.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "tamarackwing/base/digest.h"

namespace tamarackwing::callers {
namespace {

using nlohmann::json;

constexpr TokenCount kDefaultOutputTokens = 256;
constexpr TokenCount kMaxOutputTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kPrefixDigits = 16;
constexpr int kMaxNesting = 32;

//! Parses JSON and discards values nested deeper than kMaxNesting, which is
//! more than any prompt needs.
json ParseBounded(std::string_view body) {
  const auto within_depth = [](int depth, json::parse_event_t, json&) {
    return depth <= kMaxNesting;
  };
  return json::parse(body, within_depth, false);
}

bool AppendContent(const json& content, std::string& prompt) {
  if (content.is_string()) {
    prompt += content.get_ref<const std::string&>();
    return true;
  }
  if (!content.is_array()) {
    return false;
  }
  for (const json& part : content) {
    if (part.is_string()) {
      prompt += part.get_ref<const std::string&>();
    } else if (part.is_object() && part.contains("text") &&
               part["text"].is_string()) {
      prompt += part["text"].get_ref<const std::string&>();
    } else {
      return false;
    }
  }
  return true;
}

bool ReadPrompt(const json& document, std::string& prompt) {
  if (document.contains("prompt")) {
    return AppendContent(document["prompt"], prompt);
  }
  if (document.contains("input")) {
    return AppendContent(document["input"], prompt);
  }
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() ||
      messages->empty()) {
    return false;
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !AppendContent(message["content"], prompt)) {
      return false;
    }
  }
  return true;
}

bool ReadOutputTokens(const json& document, TokenCount& tokens) {
  tokens = kDefaultOutputTokens;
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto field = document.find(name);
    if (field == document.end()) {
      continue;
    }
    if (!field->is_number_integer()) {
      return false;
    }
    tokens = field->get<TokenCount>();
    return tokens > 0 && tokens <= kMaxOutputTokens;
  }
  return true;
}

}  // namespace

std::uint64_t DigestPrefix(std::string_view prompt) {
  const std::string digest = Sha256Hex(prompt.substr(0, kPrefixBytes));
  std::uint64_t value = 0;
  std::from_chars(digest.data(), digest.data() + kPrefixDigits, value, 16);
  return value;
}

Expected<ModelCall, RefusalCode> ParseModelCall(std::string_view body) {
  const json document = ParseBounded(body);
  if (!document.is_object()) {
    return unexpected(RefusalCode::kMalformedRequest);
  }
  const auto model = document.find("model");
  const auto stream = document.find("stream");
  const bool has_model = model != document.end() && model->is_string();
  const bool has_stream = stream == document.end() || stream->is_boolean();
  ModelCall call;
  std::string prompt;
  if (!has_model || !has_stream || !ReadPrompt(document, prompt) ||
      !ReadOutputTokens(document, call.output_tokens)) {
    return unexpected(RefusalCode::kMalformedRequest);
  }
  call.route = RouteName(model->get<std::string>());
  call.stream = stream != document.end() && stream->get<bool>();
  call.prompt_tokens =
      static_cast<TokenCount>(prompt.size() / kBytesPerToken) + 1;
  call.prefix = DigestPrefix(prompt);
  return call;
}

}  // namespace tamarackwing::callers
