#include "protocol/json/json.h"

#include <cctype>
#include <charconv>
#include <utility>

namespace gulltrestle::json {

namespace {

// Deeper than any configuration or endpoint list; bounds the memory that a hostile document can occupy.
constexpr std::size_t kMaxDepth = 32;
// Longer than any number in use.
constexpr std::size_t kMaxLiteralBytes = 64;

// The single-character escapes and the characters that they represent.
constexpr std::string_view kEscapes = "\"\\/bfnrt", kEscaped = "\"\\/\b\f\n\r\t";

// UTF-16 surrogates (RFC 8259, section 7).
constexpr unsigned kFirstHighSurrogate = 0xD800, kFirstLowSurrogate = 0xDC00, kLastLowSurrogate = 0xDFFF;
constexpr unsigned kFirstSupplementary = 0x10000;
constexpr unsigned kSurrogateBits = 10;
constexpr unsigned kHexDigitsPerEscape = 4;

bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

bool isNumber(std::string_view text) {
  std::size_t at = 0;
  const auto digits = [&] {
    const auto start = at;
    while (at < text.size() && text[at] >= '0' && text[at] <= '9') ++at;
    return at - start;
  };
  if (at < text.size() && text[at] == '-') ++at;
  const bool startsWithZero = at < text.size() && text[at] == '0';
  const auto integerDigits = digits();
  if (integerDigits == 0 || (startsWithZero && integerDigits > 1)) return false;
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
    // The character after a literal ends it and is then processed again.
    const char c = slice[at];
    if (state_ == State::literal && (isSpace(c) || c == ',' || c == ']' || c == '}')) {
      endLiteral();
      continue;
    }
    step(c);
    ++at;
  }
  return at;
}

void Parser::finish() {
  if (state_ == State::literal && open_.empty()) endLiteral();
  if (!done_) throw Malformed("the text ends inside a value");
}

Value Parser::take() {
  Value value = std::move(value_);
  *this = Parser();
  return value;
}

// --- Character states

void Parser::step(char c) {
  switch (state_) {
    case State::string:
      return stepInString(c);
    case State::escape:
      return stepInEscape(c);
    case State::unicode:
      return hexDigit(c);
    case State::literal:
      return stepInLiteral(c);
    default:
      if (!isSpace(c)) stepBetweenValues(c);
  }
}

void Parser::stepInString(char c) {
  if (c == '"') return endString();
  if (c == '\\') {
    state_ = State::escape;
    return;
  }
  if (static_cast<unsigned char>(c) < 0x20) throw Malformed("unescaped control character in a string");
  if (highSurrogate_ != 0) throw Malformed("unpaired surrogate");
  token_ += c;
}

void Parser::stepInEscape(char c) {
  state_ = State::string;
  if (c == 'u') {
    state_ = State::unicode;
    codeUnit_ = hexDigits_ = 0;
    return;
  }
  const auto at = kEscapes.find(c);
  if (at == std::string_view::npos || highSurrogate_ != 0) throw Malformed("invalid escape sequence");
  token_ += kEscaped[at];
}

void Parser::stepInLiteral(char c) {
  token_ += c;
  if (token_.size() > kMaxLiteralBytes) throw Malformed("a literal is too long");
}

void Parser::stepBetweenValues(char c) {
  switch (state_) {
    case State::firstItem:
      return c == ']' ? close(Value::Kind::array) : beginValue(c);
    case State::value:
      return beginValue(c);
    case State::firstName:
      if (c == '}') return close(Value::Kind::object);
      [[fallthrough]];
    case State::name:
      if (c != '"') throw Malformed("expected a name");
      return beginString(true);
    case State::colon:
      if (c != ':') throw Malformed("expected a colon");
      state_ = State::value;
      return;
    default:
      return stepAfterItem(c);
  }
}

void Parser::stepAfterItem(char c) {
  if (c == ',')
    state_ = open_.back().kind == Value::Kind::array ? State::value : State::name;
  else if (c == ']')
    close(Value::Kind::array);
  else if (c == '}')
    close(Value::Kind::object);
  else
    throw Malformed("expected a comma or a closing bracket");
}

// --- Values

void Parser::beginValue(char c) {
  if (c == '{') return open(Value::Kind::object, State::firstName);
  if (c == '[') return open(Value::Kind::array, State::firstItem);
  if (c == '"') return beginString(false);
  if (c != '-' && !std::isalnum(static_cast<unsigned char>(c))) throw Malformed("expected a value");
  token_ = c;
  state_ = State::literal;
}

void Parser::beginString(bool isName) {
  isName_ = isName;
  state_ = State::string;
}

void Parser::open(Value::Kind kind, State nextState) {
  if (open_.size() >= kMaxDepth) throw Malformed("arrays or objects are nested too deeply");
  open_.emplace_back().kind = kind;
  state_ = nextState;
}

void Parser::endString() {
  if (highSurrogate_ != 0) throw Malformed("unpaired surrogate");
  if (isName_) {
    open_.back().names.push_back(std::exchange(token_, {}));
    state_ = State::colon;
    return;
  }
  Value value;
  value.kind = Value::Kind::string;
  value.text = std::exchange(token_, {});
  endValue(std::move(value));
}

void Parser::endLiteral() {
  Value value;
  value.text = std::exchange(token_, {});
  if (value.text == "true" || value.text == "false")
    value.kind = Value::Kind::boolean;
  else if (isNumber(value.text))
    value.kind = Value::Kind::number;
  else if (value.text != "null")
    throw Malformed("'" + value.text + "' is not a value");
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
  if (open_.back().kind != kind) throw Malformed("mismatched closing bracket");
  Value value = std::move(open_.back());
  open_.pop_back();
  endValue(std::move(value));
}

// --- \u escapes

void Parser::hexDigit(char c) {
  unsigned digit = 0;
  if (std::from_chars(&c, &c + 1, digit, 16).ec != std::errc{}) throw Malformed("invalid escape sequence");
  codeUnit_ = codeUnit_ * 16 + digit;
  if (++hexDigits_ < kHexDigitsPerEscape) return;
  state_ = State::string;
  const bool isLow = codeUnit_ >= kFirstLowSurrogate && codeUnit_ <= kLastLowSurrogate;
  const bool isHigh = codeUnit_ >= kFirstHighSurrogate && codeUnit_ < kFirstLowSurrogate;
  if (isLow != (highSurrogate_ != 0)) throw Malformed("unpaired surrogate");
  if (isHigh) {
    highSurrogate_ = codeUnit_;
  } else if (isLow) {
    const unsigned high = std::exchange(highSurrogate_, 0) - kFirstHighSurrogate;
    appendUtf8(kFirstSupplementary + (high << kSurrogateBits) + (codeUnit_ - kFirstLowSurrogate));
  } else {
    appendUtf8(codeUnit_);
  }
}

void Parser::appendUtf8(unsigned codePoint) {
  const auto appendTail = [&](unsigned shift) {
    token_ += static_cast<char>(0x80 | ((codePoint >> shift) & 0x3F));
  };
  if (codePoint < 0x80) {
    token_ += static_cast<char>(codePoint);
  } else if (codePoint < 0x800) {
    token_ += static_cast<char>(0xC0 | (codePoint >> 6));
    appendTail(0);
  } else if (codePoint < 0x10000) {
    token_ += static_cast<char>(0xE0 | (codePoint >> 12));
    appendTail(6);
    appendTail(0);
  } else {
    token_ += static_cast<char>(0xF0 | (codePoint >> 18));
    appendTail(12);
    appendTail(6);
    appendTail(0);
  }
}

}  // namespace gulltrestle::json
