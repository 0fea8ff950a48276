// Blocks of job ids, taken from each entry VM ahead of need.
#pragma once

#include "yuccaplank/runtime/executor.hpp"
#include "yuccaplank/wire/http_client.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yuccaplank::load {

/// Blocks of issued ids, one from each entry VM, requested before they run out.
class id_pool {
public:
  /// OnIds runs when ids have arrived.
  id_pool(runtime::executor &Executor, wire::http_client &Client, const std::vector<std::string> &Entries,
          std::uint32_t Block, std::function<void()> OnIds);

  /// An id from the block of an entry VM, or else from any other.
  std::optional<std::string> take(std::size_t Entry);
  /// Forgets the ids of an entry VM, because their authority may be gone.
  void discard(std::size_t Entry) { Blocks[Entry].Ids.clear(); }
  /// Requests a block from every entry VM that has few ids left.
  void refill();
  /// No more requests.
  void stop() { Stopped = true; }

private:
  struct block {
    std::deque<std::string> Ids;
    runtime::time_point Arrived;
    bool Requested = false;
  };
  std::optional<std::string> takeFrom(block &Block);
  void request(std::size_t Entry);
  void onReply(std::size_t Entry, const wire::http_call_result &Result);

  runtime::executor &Executor;
  wire::http_client &Client;
  const std::vector<std::string> &Entries;
  std::uint32_t BlockSize;
  std::function<void()> OnIds;
  std::vector<block> Blocks;
  bool Stopped = false;
};

} // namespace yuccaplank::load
