// Line numbers of the tokens that the JSON parser reads.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string_view>

namespace yuccaplank::wire {

/// Tracks the parser's position and computes the line of the last token.
class line_counter {
public:
  explicit line_counter(std::string_view Text) : CountedUntil(Text.data()), ConsumedUntil(Text.data()) {}
  /// Sets the end of the text that the parser has consumed.
  void setConsumed(const char *End) { ConsumedUntil = End; }
  /// Returns the line of the last token, counted from 1. The last consumed character is not counted: after a
  /// number it is the character behind the token, which may be a newline.
  int line() {
    const char *Last = ConsumedUntil > CountedUntil ? ConsumedUntil - 1 : CountedUntil;
    Line += static_cast<int>(std::count(CountedUntil, Last, '\n'));
    CountedUntil = Last;
    return Line;
  }

private:
  const char *CountedUntil;
  const char *ConsumedUntil;
  int Line = 1;
};

/// Input iterator that reports its position to a line counter.
class counting_iterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  counting_iterator(const char *Position, line_counter &Lines) : Position(Position), Lines(&Lines) {}
  reference operator*() const { return *Position; }
  counting_iterator &operator++() {
    ++Position;
    Lines->setConsumed(Position);
    return *this;
  }
  friend bool operator==(const counting_iterator &Left, const counting_iterator &Right) {
    return Left.Position == Right.Position;
  }

private:
  const char *Position;
  line_counter *Lines;
};

} // namespace yuccaplank::wire
