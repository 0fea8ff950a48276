// Hands out job ids whose authority is the dispatcher of the own failure domain.
#pragma once

#include "peer_network.hpp"
#include "yuccaplank/model/job_table.hpp"

#include <functional>
#include <string>
#include <vector>

namespace yuccaplank::node {

class id_pool {
public:
  using ids_function = std::function<void(runtime::result<std::vector<std::string>>)>;

  id_pool(runtime::executor &Executor, peer_network &Peers, model::membership &Membership,
          model::job_table &Jobs, schema::incarnation Self, std::string Domain);

  void take(std::uint32_t Count, ids_function OnDone);
  /// Answers a peer's request for a block.
  void onRequest(const schema::incarnation &From, const schema::id_block_request &Request);

private:
  struct block {
    schema::incarnation Authority;
    std::string Domain;
    std::uint64_t Next = 0;
    std::uint64_t End = 0;
    runtime::time_point Received;
  };
  void request(const schema::incarnation &Dispatcher, std::uint32_t Count, ids_function OnDone);
  std::vector<std::string> takeOwn(std::uint32_t Count);
  std::vector<std::string> takeFromBlock(std::uint32_t Count);
  [[nodiscard]] bool blockUsable(const schema::incarnation &Dispatcher, std::uint32_t Count) const;

  runtime::executor &Executor;
  peer_network &Peers;
  model::membership &Membership;
  model::job_table &Jobs;
  schema::incarnation Self;
  std::string Domain;
  block Block;
};

} // namespace yuccaplank::node
