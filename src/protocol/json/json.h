// JSON, parsed as it arrives: any text may be handed over in slices, cut anywhere.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::json {

// Text that is not JSON.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A parsed value. Numbers keep their text, so that no precision is lost.
struct Value {
  enum class Kind { null, boolean, number, text, list, object };
  Kind kind = Kind::null;
  std::string text;                // of a text, unescaped; of a number or boolean, as written
  std::vector<Value> items;        // of a list or an object
  std::vector<std::string> names;  // of an object: the names of its items

  const Value* find(std::string_view name) const;
};

// Incremental parser of one value.
class Parser {
 public:
  // Takes a slice and returns how much of it was used: all, or up to the end of the value.
  std::size_t feed(std::string_view slice);
  // The text is over: a number that stands alone ends here. Throws if the value is not whole.
  void finish();
  bool done() const { return done_; }
  // Hands the value over; the parser is as new.
  Value take();

 private:
  enum class State { value, firstItem, firstName, name, colon, next, text, escape, unicode, bare };
  void step(char c);
  void begin(char c);
  void push(Value::Kind kind, State then);
  void endText();
  void endBare();
  void endValue(Value value);
  void close(Value::Kind kind);
  void hexDigit(char c);
  void append(unsigned code);

  State state_ = State::value;
  std::vector<Value> open_;  // lists and objects that are not closed yet, outermost first
  std::string token_;
  bool isName_ = false, done_ = false;
  unsigned code_ = 0, digits_ = 0, high_ = 0;
  Value value_;
};

}  // namespace gulltrestle::json
