#include "yuccaplank/runtime/error.hpp"

#include <array>
#include <string>

namespace yuccaplank::runtime {
namespace {

// Indexed by errc.
constexpr auto Names = std::to_array<std::string_view>({
    "ok",
    "malformed_document",
    "unknown_field",
    "wrong_type",
    "out_of_range",
    "missing_field",
    "body_too_large",
    "queue_full",
    "too_many_connections",
    "request_timeout",
    "connect_failed",
    "connect_timeout",
    "connection_lost",
    "peer_unreachable",
    "peer_rejected",
    "platform_unavailable",
    "revision_conflict",
    "not_found",
    "unknown_domain",
    "already_evacuated",
    "not_evacuated",
    "internal",
});
static_assert(Names.size() == static_cast<std::size_t>(errc::Internal) + 1);

class category : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override { return "yuccaplank"; }
  [[nodiscard]] std::string message(int Value) const override {
    return std::string(errcName(static_cast<errc>(Value)));
  }
};

} // namespace

std::string_view errcName(errc Code) {
  auto Index = static_cast<std::size_t>(Code);
  return Index < Names.size() ? Names[Index] : Names.back();
}

const std::error_category &errorCategory() {
  static const category Instance;
  return Instance;
}

std::error_code make_error_code(errc Code) { return {static_cast<int>(Code), errorCategory()}; }

} // namespace yuccaplank::runtime
