#include "protocol/http1/response.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace gulltrestle::http1 {

namespace {

// No head that discovery sends comes near; bounds what a hostile one can make the parser hold.
constexpr std::size_t kLongestHead = 16 * 1024;

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::string lower(std::string_view text) {
  std::string made(text);
  for (char& c : made) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return made;
}

std::size_t number(std::string_view text, int base, const char* what) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) throw Malformed(what);
  return value;
}

}  // namespace

std::size_t Response::feed(std::string_view slice, const Body& body) {
  const auto size = slice.size();
  while (state_ != State::done && !slice.empty()) {
    if (state_ == State::body || state_ == State::chunk || state_ == State::toEnd) {
      const auto part = slice.substr(0, state_ == State::toEnd ? slice.size() : left_);
      slice.remove_prefix(part.size());
      left_ -= state_ == State::toEnd ? 0 : part.size();
      body(part);
      if (left_ == 0 && state_ == State::body) state_ = State::done;
      if (left_ == 0 && state_ == State::chunk) state_ = State::chunkEnd;
    } else if (takeLine(slice)) {
      endLine();
      line_.clear();
    }
  }
  return size - slice.size();
}

bool Response::takeLine(std::string_view& slice) {
  const auto end = slice.find('\n');
  const auto part = slice.substr(0, std::min(end, slice.size()));
  headBytes_ += part.size() + 1;
  if (headBytes_ > kLongestHead) throw Malformed("the head is too long");
  line_ += part;
  slice.remove_prefix(end == std::string_view::npos ? slice.size() : end + 1);
  if (end == std::string_view::npos) return false;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

void Response::endLine() {
  const std::string_view line = line_;
  switch (state_) {
    case State::statusLine:
      if (line.size() < 12 || line.substr(0, 7) != "HTTP/1." || line[8] != ' ')
        throw Malformed("the first line is no status line");
      status_ = static_cast<int>(number(line.substr(9, 3), 10, "the status is no number"));
      state_ = State::header;
      return;
    case State::header: {
      if (line.empty()) return endHead();
      const auto colon = line.find(':');
      if (colon == std::string_view::npos) throw Malformed("a header has no colon");
      const auto name = lower(line.substr(0, colon));
      const auto value = trimmed(line.substr(colon + 1));
      if (field) field(name, value);
      if (name == "transfer-encoding") chunked_ = lower(value) == "chunked";
      if (name == "content-length") {
        left_ = number(value, 10, "the length is no number");
        hasLength_ = true;
      }
      return;
    }
    case State::chunkSize:
      left_ = number(trimmed(line.substr(0, line.find(';'))), 16, "a chunk's length is no number");
      state_ = left_ == 0 ? State::trailer : State::chunk;
      headBytes_ = 0;
      return;
    case State::chunkEnd:
      if (!line.empty()) throw Malformed("a chunk is longer than it said");
      state_ = State::chunkSize;
      return;
    default:  // trailer
      if (line.empty()) state_ = State::done;
  }
}

void Response::endHead() {
  if (chunked_)
    state_ = State::chunkSize;
  else if (hasLength_)
    state_ = left_ == 0 ? State::done : State::body;
  else
    state_ = State::toEnd;
  headBytes_ = 0;
}

std::string get(std::string_view path, std::string_view host) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + std::string(host) +
         "\r\nAccept: application/json\r\n\r\n";
}

}  // namespace gulltrestle::http1
