#include "yuccaplank/load/id_pool.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace yuccaplank::load {
namespace {

// Ids are valid for 600 s. A block may hold ids left from the one before, so it is dropped well within half
// of that.
constexpr runtime::duration MaxBlockAge = std::chrono::seconds(200);
constexpr runtime::duration RequestTimeout = std::chrono::seconds(2);
constexpr runtime::duration RepeatDelay = std::chrono::milliseconds(200);

} // namespace

id_pool::id_pool(runtime::executor &Executor, wire::http_client &Client,
                 const std::vector<std::string> &Entries, std::uint32_t Block, std::function<void()> OnIds)
    : Executor(Executor), Client(Client), Entries(Entries), BlockSize(Block), OnIds(std::move(OnIds)),
      Blocks(Entries.size()) {}

std::optional<std::string> id_pool::take(std::size_t Entry) {
  std::optional<std::string> Id;
  for (std::size_t Step = 0; Step < Blocks.size() && !Id; ++Step)
    Id = takeFrom(Blocks[(Entry + Step) % Blocks.size()]);
  refill();
  return Id;
}

std::optional<std::string> id_pool::takeFrom(block &Block) {
  if (Executor.clock().now() - Block.Arrived > MaxBlockAge)
    Block.Ids.clear();
  if (Block.Ids.empty())
    return std::nullopt;
  std::string Id = std::move(Block.Ids.front());
  Block.Ids.pop_front();
  return Id;
}

void id_pool::refill() {
  for (std::size_t Entry = 0; Entry < Blocks.size(); ++Entry)
    if (!Stopped && !Blocks[Entry].Requested && Blocks[Entry].Ids.size() <= BlockSize / 2)
      request(Entry);
}

void id_pool::request(std::size_t Entry) {
  Blocks[Entry].Requested = true;
  wire::http_call Call;
  Call.Method = "POST";
  Call.Address = Entries[Entry];
  Call.Path = fmt::format("/v1/ids?count={}", BlockSize);
  Call.Timeout = RequestTimeout;
  Client.call(std::move(Call),
              [this, Entry](const wire::http_call_result &Result) { onReply(Entry, Result); });
}

void id_pool::onReply(std::size_t Entry, const wire::http_call_result &Result) {
  block &Block = Blocks[Entry];
  bool Valid = !Result.Error && Result.Status == 200;
  auto Document = Valid ? nlohmann::json::parse(Result.Body, nullptr, false) : nlohmann::json();
  if (!Document.is_object() || !Document["ids"].is_array() || Document["ids"].empty()) {
    Executor.after(RepeatDelay, [this, Entry] {
      Blocks[Entry].Requested = false;
      refill();
    });
    return;
  }
  Block.Requested = false;
  Block.Arrived = Executor.clock().now();
  for (const auto &Id : Document["ids"])
    if (Id.is_string())
      Block.Ids.push_back(Id.get<std::string>());
  OnIds();
}

} // namespace yuccaplank::load
