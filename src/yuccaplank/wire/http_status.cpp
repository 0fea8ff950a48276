#include "http_status.hpp"

#include <algorithm>
#include <array>

namespace yuccaplank::wire {
namespace {

struct status_reason {
  int Status;
  const char *Reason;
};

constexpr auto Reasons = std::to_array<status_reason>({
    {200, "OK"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {410, "Gone"},
    {413, "Payload Too Large"},
    {422, "Unprocessable Entity"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
});

} // namespace

const char *reasonPhrase(int Status) {
  const auto *Found = std::ranges::find(Reasons, Status, &status_reason::Status);
  return Found == Reasons.end() ? "Other" : Found->Reason;
}

} // namespace yuccaplank::wire
