#include "tools/simulator_adapter/message_line.h"

#include <algorithm>

namespace gulltrestle::simulator_adapter {

MessageLine::MessageLine(std::string_view text) {
  std::size_t at = 0;
  while (at <= text.size()) {
    const auto space = std::min(text.find(' ', at), text.size());
    const auto word = text.substr(at, space - at);
    if (at == 0) {
      tag_ = word;
    } else if (!word.empty()) {
      const auto equals = word.find('=');
      if (equals == std::string_view::npos) throw InvalidField(word, "has no value");
      parts_.push_back({word.substr(0, equals), word.substr(equals + 1)});
    }
    at = space + 1;
  }
}

std::optional<std::string_view> MessageLine::find(std::string_view name) const {
  for (const auto& part : parts_)
    if (part.name == name) return part.value;
  return std::nullopt;
}

}  // namespace gulltrestle::simulator_adapter
