#include "catalog_sync.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <xxhash.h>

namespace yuccaplank::node {
namespace {

using namespace std::chrono_literals;

// The push after a commit reaches every VM at once; polling is the backstop that keeps the 6 s bound when the
// committing VM dies before it has pushed.
constexpr runtime::duration DocumentPeriod = 3s;
// A leaving backend server must get no new work after 3 s.
constexpr runtime::duration VmListPeriod = 2s;
// VMs that are not the dispatcher only need to be able to take over.
constexpr runtime::duration IdlePeriod = 10s;
constexpr runtime::duration StartRetryPeriod = 500ms;
constexpr runtime::duration PullInterval = 1s;

std::uint64_t revisionDigest(const schema::service_revision &Revision) {
  return XXH64(Revision.document().service().data(), Revision.document().service().size(),
               Revision.revision());
}

} // namespace

catalog_sync::catalog_sync(runtime::executor &Executor, peer_network &Peers, model::membership &Membership,
                           model::catalog &Catalog, storage::table &Table, storage::documents &Documents,
                           std::vector<std::string> SeedPeers, std::uint64_t Seed,
                           std::function<void(const schema::vm_list &)> OnVmList)
    : Executor(Executor), Peers(Peers), Membership(Membership), Catalog(Catalog), Table(Table),
      Documents(Documents), SeedPeers(std::move(SeedPeers)), OnList(std::move(OnVmList)), Random(Seed) {}

void catalog_sync::start() {
  pollDocuments();
  pollVms();
  askPeers();
}

void catalog_sync::apply(storage::apply_request Request,
                         std::function<void(runtime::result<storage::apply_reply>)> OnDone) {
  std::string Service = Request.Document.service();
  auto Known = Catalog.find(Service);
  Request.KnownRevision = Known ? Known->revision() : 0;
  Documents.apply(std::move(Request),
                  [this, Service, OnDone = std::move(OnDone)](runtime::result<storage::apply_reply> Reply) {
                    if (Reply)
                      applied(Service, Reply.value());
                    OnDone(std::move(Reply));
                  });
}

void catalog_sync::applied(const std::string &Service, storage::apply_reply &Reply) {
  if (Reply.Current.revision() > 0 && Catalog.merge(Reply.Current)) {
    updateDigest();
    schema::envelope Message;
    *Message.mutable_catalog_update()->add_services() = Reply.Current;
    Peers.broadcast(Message);
    runtime::log(runtime::log_level::Info, "service_revision",
                 {{"service", Service}, {"revision", static_cast<std::int64_t>(Reply.Current.revision())}});
  }
  // A platform restored from an old copy may report a lower revision than the one in force.
  auto InForce = Catalog.find(Service);
  if (!Reply.Committed && InForce && InForce->revision() > Reply.Current.revision())
    Reply.Current = *InForce;
}

void catalog_sync::onUpdate(const schema::catalog_update &Update) {
  mergeAll(Update.services());
  if (Update.complete())
    Catalog.markReady();
}

void catalog_sync::onPull(const schema::incarnation &From) {
  if (!Catalog.ready())
    return;
  schema::envelope Update;
  Update.mutable_catalog_update()->set_complete(true);
  for (const auto &Revision : Catalog.all())
    *Update.mutable_catalog_update()->add_services() = *Revision;
  Peers.send(From.vm(), std::move(Update));
  schema::envelope List;
  *List.mutable_vm_list() = VmList;
  Peers.send(From.vm(), std::move(List));
}

void catalog_sync::onVmList(const schema::vm_list &List) {
  // A peer's copy may be older than what the platform has told this VM.
  if (List.version() > VmList.version())
    takeVmList(List);
}

void catalog_sync::onPeerDigest(const schema::incarnation &From, std::uint64_t PeerDigest) {
  auto Now = Executor.clock().now();
  if (PeerDigest == Digest || Now - LastPull < PullInterval)
    return;
  LastPull = Now;
  schema::envelope Message;
  Message.mutable_catalog_pull();
  Peers.send(From.vm(), std::move(Message));
}

void catalog_sync::pollDocuments() {
  Documents.changes(TableRevision, [this](runtime::result<schema::catalog_snapshot> Snapshot) {
    if (Snapshot)
      takeSnapshot(Snapshot.value());
    auto Period = Membership.isDispatcher() ? DocumentPeriod : IdlePeriod;
    Executor.after(spread(Catalog.ready() ? Period : StartRetryPeriod), [this] { pollDocuments(); });
  });
}

void catalog_sync::pollVms() {
  Table.vms([this](runtime::result<schema::vm_list> List) {
    if (List)
      takeVmList(List.value());
    if (static_cast<bool>(List) != PlatformReached) {
      PlatformReached = static_cast<bool>(List);
      runtime::log(runtime::log_level::Warning,
                   PlatformReached ? "platform_reached" : "platform_unreachable");
    }
    auto Period = Membership.isDispatcher() ? VmListPeriod : IdlePeriod;
    Executor.after(spread(VmList.version() > 0 ? Period : StartRetryPeriod), [this] { pollVms(); });
  });
}

void catalog_sync::askPeers() {
  if (Catalog.ready())
    return;
  schema::envelope Message;
  Message.mutable_catalog_pull();
  Peers.broadcast(Message);
  // The id of a seed is not known before its hello.
  for (const std::string &Address : SeedPeers)
    Peers.sendTo({}, Address, Message);
  Executor.after(spread(StartRetryPeriod), [this] { askPeers(); });
}

void catalog_sync::takeSnapshot(const schema::catalog_snapshot &Snapshot) {
  Catalog.markReady();
  if (Snapshot.table_revision() < TableRevision) {
    // The platform was restored from an older copy; read everything again, revisions known here stay in
    // force.
    runtime::log(runtime::log_level::Warning, "platform_revision_regressed",
                 {{"known", static_cast<std::int64_t>(TableRevision)},
                  {"read", static_cast<std::int64_t>(Snapshot.table_revision())}});
    TableRevision = 0;
    return;
  }
  TableRevision = Snapshot.table_revision();
  if (!mergeAll(Snapshot.services()) || !Membership.isDispatcher())
    return;
  schema::envelope Message;
  *Message.mutable_catalog_update()->mutable_services() = Snapshot.services();
  Peers.broadcast(Message);
}

void catalog_sync::takeVmList(const schema::vm_list &List) {
  if (VmList.version() == List.version())
    return;
  VmList = List;
  OnList(VmList);
}

bool catalog_sync::mergeAll(const google::protobuf::RepeatedPtrField<schema::service_revision> &Revisions) {
  bool Changed = false;
  for (const schema::service_revision &Revision : Revisions)
    Changed |= Catalog.merge(Revision);
  if (Changed)
    updateDigest();
  return Changed;
}

void catalog_sync::updateDigest() {
  Digest = 0;
  // A sum does not depend on the order of services.
  for (const auto &Revision : Catalog.all())
    Digest += revisionDigest(*Revision);
  Membership.setCatalogVersion(Digest);
}

} // namespace yuccaplank::node
