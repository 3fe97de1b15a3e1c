#include "protocol/http1/response.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace gulltrestle::http1 {

namespace {

// Well above any response head that discovery sends; bounds the memory that a hostile one can occupy.
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
// The status line starts with `HTTP/1.x SSS`.
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusPosition = 9, kStatusDigits = 3;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::string toLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

// Throws Malformed with the text `fault` if `text` is not a number.
std::size_t parseNumber(std::string_view text, int base, const char* fault) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) throw Malformed(fault);
  return value;
}

}  // namespace

std::size_t Response::feed(std::string_view slice, const OnBody& onBody) {
  const auto size = slice.size();
  while (state_ != State::done && !slice.empty()) {
    if (isInBody()) {
      takeBody(slice, onBody);
    } else if (takeLine(slice)) {
      endLine();
      line_.clear();
    }
  }
  return size - slice.size();
}

void Response::takeBody(std::string_view& slice, const OnBody& onBody) {
  const bool isLengthKnown = state_ != State::bodyUntilClose;
  const auto part = slice.substr(0, isLengthKnown ? remainingBytes_ : slice.size());
  slice.remove_prefix(part.size());
  if (isLengthKnown) remainingBytes_ -= part.size();
  onBody(part);
  if (remainingBytes_ == 0 && state_ == State::body) state_ = State::done;
  if (remainingBytes_ == 0 && state_ == State::chunk) state_ = State::chunkEnd;
}

// Appends to line_ up to the end of the line. Returns true once line_ holds a complete line without its
// terminator.
bool Response::takeLine(std::string_view& slice) {
  const auto end = slice.find('\n');
  const auto part = slice.substr(0, std::min(end, slice.size()));
  lineBytes_ += part.size() + 1;
  if (lineBytes_ > kMaxHeadBytes) throw Malformed("the response head is too long");
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
      return readStatusLine(line);
    case State::header:
      return line.empty() ? endHead() : readHeader(line);
    case State::chunkSize:
      remainingBytes_ = parseNumber(trim(line.substr(0, line.find(';'))), 16, "a chunk size is not a number");
      state_ = remainingBytes_ == 0 ? State::trailer : State::chunk;
      lineBytes_ = 0;
      return;
    case State::chunkEnd:
      if (!line.empty()) throw Malformed("a chunk is longer than its stated size");
      state_ = State::chunkSize;
      return;
    default:  // trailer
      if (line.empty()) state_ = State::done;
  }
}

void Response::readStatusLine(std::string_view line) {
  if (line.size() < kStatusPosition + kStatusDigits || !line.starts_with(kVersionPrefix) ||
      line[kStatusPosition - 1] != ' ')
    throw Malformed("the first line is not a status line");
  const std::string_view status = line.substr(kStatusPosition, kStatusDigits);
  status_ = static_cast<int>(parseNumber(status, 10, "the status code is not a number"));
  state_ = State::header;
}

void Response::readHeader(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) throw Malformed("a header has no colon");
  const auto name = toLower(line.substr(0, colon));
  const auto value = trim(line.substr(colon + 1));
  if (onHeader) onHeader(name, value);
  if (name == "transfer-encoding") isChunked_ = toLower(value) == "chunked";
  if (name != "content-length") return;
  remainingBytes_ = parseNumber(value, 10, "the value of Content-Length is not a number");
  hasLength_ = true;
}

void Response::endHead() {
  if (isChunked_)
    state_ = State::chunkSize;
  else if (hasLength_)
    state_ = remainingBytes_ == 0 ? State::done : State::body;
  else
    state_ = State::bodyUntilClose;
  lineBytes_ = 0;
}

std::string encodeGetRequest(std::string_view path, std::string_view host) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + std::string(host) +
         "\r\nAccept: application/json\r\n\r\n";
}

}  // namespace gulltrestle::http1
