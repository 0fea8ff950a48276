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
    "too_many_tasks",
    "duplicate_task_name",
    "deadline_passed",
    "unknown_service",
    "unknown_path",
    "method_not_allowed",
    "invalid_id",
    "id_reused",
    "id_required",
    "unauthorized",
    "no_fit_server",
    "quota_exceeded",
    "queue_full",
    "deadline_unreachable",
    "draining",
    "no_catalog",
    "not_dispatcher",
    "too_many_connections",
    "request_timeout",
    "connect_failed",
    "connection_lost",
    "not_started",
    "server_error",
    "crossed_answer",
    "task_timeout",
    "retries_exhausted",
    "cancelled",
    "paused",
    "authority_gone",
    "authority_unreachable",
    "record_expired",
    "peer_unreachable",
    "peer_rejected",
    "platform_unavailable",
    "revision_conflict",
    "not_found",
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

errc errcFromName(std::string_view Name) {
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names[Index] == Name)
      return static_cast<errc>(Index);
  return errc::Internal;
}

const std::error_category &errorCategory() {
  static const category Instance;
  return Instance;
}

std::error_code make_error_code(errc Code) { return {static_cast<int>(Code), errorCategory()}; }

} // namespace yuccaplank::runtime
