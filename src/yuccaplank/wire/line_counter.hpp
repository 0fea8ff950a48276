// Lines of the tokens that the JSON parser reads.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string_view>

namespace yuccaplank::wire {

/// Follows the parser through the text and knows the line of the token it has read last.
class line_counter {
public:
  explicit line_counter(std::string_view Text) : CountedUntil(Text.data()), ConsumedUntil(Text.data()) {}
  /// End of the text that the parser has taken.
  void setConsumed(const char *End) { ConsumedUntil = End; }
  /// Line of the last token, from 1. The parser has read one character beyond a number, which may be a
  /// newline; that one does not count.
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

/// Input iterator that reports its progress to a line counter.
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
