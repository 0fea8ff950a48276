// Keeps service documents and the VM list current, from the platform and from peers.
#pragma once

#include "peer_network.hpp"
#include "yuccaplank/model/catalog.hpp"
#include "yuccaplank/runtime/random.hpp"
#include "yuccaplank/storage/documents.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::node {

class catalog_sync {
public:
  catalog_sync(runtime::executor &Executor, peer_network &Peers, model::membership &Membership,
               model::catalog &Catalog, storage::table &Table, storage::documents &Documents,
               std::vector<std::string> SeedPeers, std::uint64_t Seed,
               std::function<void(const schema::vm_list &)> OnVmList);

  void start();
  /// Commits a document and pushes it to all VMs.
  void apply(storage::apply_request Request,
             std::function<void(runtime::result<storage::apply_reply>)> OnDone);
  void onUpdate(const schema::catalog_update &Update);
  void onPull(const schema::incarnation &From);
  void onVmList(const schema::vm_list &List);
  /// A heartbeat of a peer with its catalog digest.
  void onPeerDigest(const schema::incarnation &From, std::uint64_t Digest);
  [[nodiscard]] const schema::vm_list &vmList() const { return VmList; }

private:
  void applied(const std::string &Service, storage::apply_reply &Reply);
  void pollDocuments();
  void pollVms();
  void askPeers();
  void takeSnapshot(const schema::catalog_snapshot &Snapshot);
  void takeVmList(const schema::vm_list &List);
  bool mergeAll(const google::protobuf::RepeatedPtrField<schema::service_revision> &Revisions);
  void updateDigest();
  // Spreads a period, so that VMs do not poll in step.
  runtime::duration spread(runtime::duration Period) { return Random.spread(Period, 0.1); }

  runtime::executor &Executor;
  peer_network &Peers;
  model::membership &Membership;
  model::catalog &Catalog;
  storage::table &Table;
  storage::documents &Documents;
  std::vector<std::string> SeedPeers;
  std::function<void(const schema::vm_list &)> OnList;
  schema::vm_list VmList;
  std::uint64_t TableRevision = 0;
  std::uint64_t Digest = 0;
  runtime::random Random;
  bool PlatformReached = false;
  runtime::time_point LastPull{};
};

} // namespace yuccaplank::node
