#include "tools/simulator_adapter/message_line.h"

#include <algorithm>

namespace gulltrestle::simulator_adapter {

MessageLine::MessageLine(std::string_view text) {
  std::size_t position = 0;
  while (position <= text.size()) {
    const auto space = std::min(text.find(' ', position), text.size());
    const auto word = text.substr(position, space - position);
    if (position == 0) {
      tag_ = word;
    } else if (!word.empty()) {
      const auto equalsSign = word.find('=');
      if (equalsSign == std::string_view::npos) throw InvalidField(word, "has no value");
      fields_.push_back({word.substr(0, equalsSign), word.substr(equalsSign + 1)});
    }
    position = space + 1;
  }
}

std::optional<std::string_view> MessageLine::find(std::string_view name) const {
  for (const auto& field : fields_)
    if (field.name == name) return field.value;
  return std::nullopt;
}

}  // namespace gulltrestle::simulator_adapter
