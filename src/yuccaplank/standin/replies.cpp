#include "yuccaplank/standin/replies.hpp"

#include <nlohmann/json.hpp>

namespace yuccaplank::standin {

using nlohmann::json;

wire::http_reply jsonReply(int Status, const json &Body) {
  wire::http_reply Reply;
  Reply.Status = Status;
  Reply.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Reply;
}

wire::http_reply reasonReply(int Status, std::string_view Reason) {
  return jsonReply(Status, {{"reason", Reason}});
}

} // namespace yuccaplank::standin
