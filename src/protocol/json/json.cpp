#include "protocol/json/json.h"

#include <cctype>
#include <charconv>
#include <utility>

namespace gulltrestle::json {

namespace {

// Deeper than any configuration or list goes; bounds what a hostile text can make the parser hold.
constexpr std::size_t kDeepest = 32;

bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

bool isNumber(std::string_view text) {
  std::size_t at = 0;
  const auto digits = [&] {
    const auto from = at;
    while (at < text.size() && text[at] >= '0' && text[at] <= '9') ++at;
    return at - from;
  };
  if (at < text.size() && text[at] == '-') ++at;
  const bool zero = at < text.size() && text[at] == '0';
  const auto whole = digits();
  if (whole == 0 || (zero && whole > 1)) return false;
  if (at < text.size() && text[at] == '.' && (++at, digits() == 0)) return false;
  if (at < text.size() && (text[at] == 'e' || text[at] == 'E')) {
    ++at;
    if (at < text.size() && (text[at] == '+' || text[at] == '-')) ++at;
    if (digits() == 0) return false;
  }
  return at == text.size();
}

}  // namespace

const Value* Value::find(std::string_view name) const {
  for (std::size_t i = names.size(); i-- > 0;)
    if (names[i] == name) return &items[i];
  return nullptr;
}

std::size_t Parser::feed(std::string_view slice) {
  std::size_t at = 0;
  while (at < slice.size() && !done_) {
    // The character after a bare word ends it and is looked at again.
    const char c = slice[at];
    if (state_ == State::bare && (isSpace(c) || c == ',' || c == ']' || c == '}')) {
      endBare();
      continue;
    }
    step(c);
    ++at;
  }
  return at;
}

void Parser::finish() {
  if (state_ == State::bare && open_.empty()) endBare();
  if (!done_) throw Malformed("the text ends inside a value");
}

Value Parser::take() {
  Value value = std::move(value_);
  *this = Parser();
  return value;
}

void Parser::step(char c) {
  switch (state_) {
    case State::text:
      if (c == '"') return endText();
      if (c == '\\') {
        state_ = State::escape;
        return;
      }
      if (static_cast<unsigned char>(c) < 0x20) throw Malformed("a control character stands in a text");
      if (high_ != 0) throw Malformed("half of a surrogate pair stands alone");
      token_ += c;
      return;
    case State::escape: {
      constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
      state_ = State::text;
      if (c == 'u') {
        state_ = State::unicode;
        code_ = digits_ = 0;
        return;
      }
      const auto at = kFrom.find(c);
      if (at == std::string_view::npos || high_ != 0) throw Malformed("an escape is not known");
      token_ += kTo[at];
      return;
    }
    case State::unicode:
      return hexDigit(c);
    case State::bare:
      token_ += c;
      if (token_.size() > 64) throw Malformed("a bare word is too long");
      return;
    default:
      break;
  }
  if (isSpace(c)) return;
  switch (state_) {
    case State::firstItem:
      if (c == ']') return close(Value::Kind::list);
      return begin(c);
    case State::value:
      return begin(c);
    case State::firstName:
      if (c == '}') return close(Value::Kind::object);
      [[fallthrough]];
    case State::name:
      if (c != '"') throw Malformed("a name is wanted");
      isName_ = true;
      state_ = State::text;
      return;
    case State::colon:
      if (c != ':') throw Malformed("a colon is wanted");
      state_ = State::value;
      return;
    default:  // next
      if (c == ',')
        state_ = open_.back().kind == Value::Kind::list ? State::value : State::name;
      else if (c == ']')
        close(Value::Kind::list);
      else if (c == '}')
        close(Value::Kind::object);
      else
        throw Malformed("a comma or an end is wanted");
  }
}

void Parser::begin(char c) {
  if (c == '{') return push(Value::Kind::object, State::firstName);
  if (c == '[') return push(Value::Kind::list, State::firstItem);
  if (c == '"') {
    isName_ = false;
    state_ = State::text;
    return;
  }
  if (c != '-' && !std::isalnum(static_cast<unsigned char>(c))) throw Malformed("a value is wanted");
  token_ = c;
  state_ = State::bare;
}

void Parser::push(Value::Kind kind, State then) {
  if (open_.size() >= kDeepest) throw Malformed("lists or objects lie too deep");
  open_.emplace_back().kind = kind;
  state_ = then;
}

void Parser::endText() {
  if (high_ != 0) throw Malformed("half of a surrogate pair stands alone");
  if (isName_) {
    open_.back().names.push_back(std::exchange(token_, {}));
    state_ = State::colon;
    return;
  }
  Value value;
  value.kind = Value::Kind::text;
  value.text = std::exchange(token_, {});
  endValue(std::move(value));
}

void Parser::endBare() {
  Value value;
  value.text = std::exchange(token_, {});
  if (value.text == "true" || value.text == "false")
    value.kind = Value::Kind::boolean;
  else if (isNumber(value.text))
    value.kind = Value::Kind::number;
  else if (value.text != "null")
    throw Malformed("'" + value.text + "' is no value");
  endValue(std::move(value));
}

void Parser::endValue(Value value) {
  if (open_.empty()) {
    value_ = std::move(value);
    done_ = true;
    return;
  }
  open_.back().items.push_back(std::move(value));
  state_ = State::next;
}

void Parser::close(Value::Kind kind) {
  if (open_.back().kind != kind) throw Malformed("a bracket closes what another opened");
  Value value = std::move(open_.back());
  open_.pop_back();
  endValue(std::move(value));
}

void Parser::hexDigit(char c) {
  unsigned digit = 0;
  if (std::from_chars(&c, &c + 1, digit, 16).ec != std::errc{}) throw Malformed("an escape is not known");
  code_ = code_ * 16 + digit;
  if (++digits_ < 4) return;
  state_ = State::text;
  const bool low = code_ >= 0xDC00 && code_ < 0xE000;
  if (low != (high_ != 0)) throw Malformed("half of a surrogate pair stands alone");
  if (code_ >= 0xD800 && code_ < 0xDC00)
    high_ = code_;
  else
    append(low ? 0x10000 + ((std::exchange(high_, 0) - 0xD800) << 10) + (code_ - 0xDC00) : code_);
}

void Parser::append(unsigned code) {
  const auto tail = [&](unsigned shift) { token_ += static_cast<char>(0x80 | ((code >> shift) & 0x3F)); };
  if (code < 0x80) {
    token_ += static_cast<char>(code);
  } else if (code < 0x800) {
    token_ += static_cast<char>(0xC0 | (code >> 6));
    tail(0);
  } else if (code < 0x10000) {
    token_ += static_cast<char>(0xE0 | (code >> 12));
    tail(6), tail(0);
  } else {
    token_ += static_cast<char>(0xF0 | (code >> 18));
    tail(12), tail(6), tail(0);
  }
}

}  // namespace gulltrestle::json
