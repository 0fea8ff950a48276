// The id that a caller chooses for a job, with its text and its form in messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace yuccaplank::dispatch {

/// An id of 16 hexadecimal digits. Ids that differ in the case of a digit are ids of different jobs.
class job_id {
public:
  static constexpr std::size_t DigitCount = 16;

  constexpr job_id() = default;
  /// The id with these digits, all in lower case.
  constexpr explicit job_id(std::uint64_t Digits) : Digits(Digits) {}
  /// Capitals has one bit for each digit, the lowest one for the last digit. Bits of the digits 0 to 9, which
  /// have no capitals, are ignored.
  constexpr job_id(std::uint64_t Digits, std::uint32_t Capitals)
      : Digits(Digits), Capitals(Capitals == 0 ? std::uint16_t{0} : keepLetters(Digits, Capitals)) {}

  /// The value of the digits.
  [[nodiscard]] constexpr std::uint64_t digits() const { return Digits; }
  /// The digits that are capitals, as in the constructor.
  [[nodiscard]] constexpr std::uint16_t capitals() const { return Capitals; }
  [[nodiscard]] constexpr bool hasCapitals() const { return Capitals != 0; }

  constexpr bool operator==(const job_id &) const = default;
  constexpr bool operator<(const job_id &Other) const {
    return std::tie(Digits, Capitals) < std::tie(Other.Digits, Other.Capitals);
  }

private:
  static constexpr std::uint16_t keepLetters(std::uint64_t Digits, std::uint32_t Capitals) {
    std::uint32_t Letters = 0;
    for (unsigned Index = 0; Index < DigitCount; ++Index)
      if ((Digits >> (4 * Index) & 0xFU) >= 10)
        Letters |= 1U << Index;
    return static_cast<std::uint16_t>(Capitals & Letters);
  }

  std::uint64_t Digits = 0;
  std::uint16_t Capitals = 0;
};

/// Parses an id; returns nullopt for a text that is not 16 hexadecimal digits.
std::optional<job_id> parseJobId(std::string_view Text);
/// Returns the text that the caller sent.
std::string formatJob(job_id Id);

/// Returns the id of the job that a message is about.
template <typename Message> job_id jobOf(const Message &Source) {
  return {Source.job(), Source.job_capitals()};
}

/// Sets the id of the job that a message is about.
template <typename Message> void setJob(Message &Target, job_id Id) {
  Target.set_job(Id.digits());
  Target.set_job_capitals(Id.capitals());
}

} // namespace yuccaplank::dispatch

template <> struct std::hash<yuccaplank::dispatch::job_id> {
  std::size_t operator()(const yuccaplank::dispatch::job_id &Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.digits()) ^ Id.capitals();
  }
};
