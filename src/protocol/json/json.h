// JSON (RFC 8259), parsed as it arrives: any text may be handed over in slices, cut anywhere.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::json {

// Text that is not JSON. Parsing it again fails again.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A parsed value. Numbers keep their text, so that no precision is lost.
struct Value {
  enum class Kind { null, boolean, number, string, array, object };
  Kind kind = Kind::null;
  std::string text;                // of a string, unescaped; of a number or boolean, as written
  std::vector<Value> items;        // of an array or object
  std::vector<std::string> names;  // of an object: the names of its items

  // The item of that name, the last one where there are several; null where there is none.
  const Value* find(std::string_view name) const;
};

// Incremental parser of one value. Not usable any more after it has thrown Malformed.
class Parser {
 public:
  // Takes a slice and returns how much of it was used: all, or up to the end of the value. Throws Malformed.
  std::size_t feed(std::string_view slice);
  // The text has ended, which ends a number that stands alone. Throws Malformed if the value is incomplete.
  void finish();
  // A value is complete.
  bool done() const { return done_; }
  // Hands the value over; the parser is as new.
  Value take();

 private:
  // What comes next, or what the parser is within.
  enum class State {
    value,
    firstItem,  // of an array, or its end
    firstName,  // of an object, or its end
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
  void open(Value::Kind kind, State then);
  void endString();
  void endLiteral();
  void endValue(Value value);
  void close(Value::Kind kind);
  void hexDigit(char c);
  void appendUtf8(unsigned codePoint);

  State state_ = State::value;
  std::vector<Value> open_;  // arrays and objects that are not closed yet, outermost first
  std::string token_;        // of the string or literal so far
  bool isName_ = false;      // the string is the name of an item
  bool done_ = false;
  unsigned codeUnit_ = 0, hexDigits_ = 0;  // of an escape \u
  unsigned highSurrogate_ = 0;             // that awaits its low one; 0: none
  Value value_;
};

}  // namespace gulltrestle::json
