// Incremental JSON parser (RFC 8259): the input may arrive in slices that are split at any byte.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::json {

// Text that is not valid JSON. Parsing the same text again always fails.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A parsed value. Numbers are kept as text, so that no precision is lost.
struct Value {
  enum class Kind { null, boolean, number, string, array, object };
  Kind kind = Kind::null;
  std::string text;                // of a string: unescaped; of a number or boolean: as written
  std::vector<Value> items;        // elements of an array or values of an object
  std::vector<std::string> names;  // names of an object's items, in the same order

  // Returns the item with that name, or null if there is none. If several items have the name, returns the
  // last.
  const Value* find(std::string_view name) const;
};

// Incremental parser of one value. Unusable after it has thrown Malformed.
class Parser {
 public:
  // Parses a slice and returns the number of bytes consumed: all of them, or those up to the end of the
  // value. Throws Malformed.
  std::size_t feed(std::string_view slice);
  // Must be called at the end of the input: this completes a top-level literal. Throws Malformed if the value
  // is incomplete.
  void finish();
  // Whether the value is complete.
  bool done() const { return done_; }
  // Returns the parsed value and resets the parser.
  Value take();

 private:
  // The token that is expected next, or that is being parsed.
  enum class State {
    value,
    firstItem,  // first item of an array, or its end
    firstName,  // first name in an object, or its end
    name,
    colon,
    next,  // a comma, or the end of an array or object
    string,
    escape,   // in a string, after a backslash
    unicode,  // in a string, after \u
    literal   // a number, true, false or null
  };
  void step(char c);
  void stepInString(char c);
  void stepInEscape(char c);
  void stepInLiteral(char c);
  void stepBetweenValues(char c);
  void stepAfterItem(char c);
  void beginValue(char c);
  void beginString(bool isName);
  void open(Value::Kind kind, State nextState);
  void endString();
  void endLiteral();
  void endValue(Value value);
  void close(Value::Kind kind);
  void hexDigit(char c);
  void appendUtf8(unsigned codePoint);

  State state_ = State::value;
  std::vector<Value> open_;  // open arrays and objects, outermost first
  std::string token_;        // the string or literal parsed so far
  bool isName_ = false;      // the string being parsed is the name of an item
  bool done_ = false;
  unsigned codeUnit_ = 0, hexDigits_ = 0;  // of the current \u escape
  unsigned highSurrogate_ = 0;             // waits for its low surrogate; 0: none
  Value value_;
};

}  // namespace gulltrestle::json
