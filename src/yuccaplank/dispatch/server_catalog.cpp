#include "server_catalog.hpp"
#include "resource_amounts.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace yuccaplank::dispatch {
namespace {

constexpr std::size_t MaxRemovals = 1000;

bool saySame(const server_entry &One, const server_entry &Other) {
  auto Texts = [](const server_entry &Entry) {
    return std::tie(Entry.Target.Id, Entry.Target.Address, Entry.Pool, Entry.Domain, Entry.Rack);
  };
  return Texts(One) == Texts(Other) && One.Draining == Other.Draining &&
         One.IncarnationStartMs == Other.IncarnationStartMs && areEqual(One.Capacity, Other.Capacity);
}

schema::server_entry toMessage(const server_entry &Entry) {
  schema::server_entry Message;
  Message.set_id(Entry.Target.Id);
  Message.set_address(Entry.Target.Address);
  Message.set_pool(Entry.Pool);
  Message.set_domain(Entry.Domain);
  Message.set_rack(Entry.Rack);
  *Message.mutable_capacity() = Entry.Capacity;
  Message.set_draining(Entry.Draining);
  Message.set_incarnation_start_ms(Entry.IncarnationStartMs);
  return Message;
}

server_entry toEntry(const schema::server_entry &Message) {
  server_entry Entry;
  Entry.Target = {Message.id(), Message.address()};
  Entry.Pool = Message.pool();
  Entry.Domain = Message.domain();
  Entry.Rack = Message.rack();
  Entry.Capacity = Message.capacity();
  Entry.Draining = Message.draining();
  Entry.IncarnationStartMs = Message.incarnation_start_ms();
  return Entry;
}

} // namespace

bool server_catalog::replace(const std::vector<server_entry> &Entries, std::uint64_t NewVersion) {
  if (NewVersion < Version)
    return false;
  std::set<std::string> Listed;
  for (const server_entry &Entry : Entries) {
    Listed.insert(Entry.Target.Id);
    set(Entry, NewVersion);
  }
  std::vector<std::string> Missing;
  for (const auto &[Server, Record] : Records)
    if (!Listed.contains(Server))
      Missing.push_back(Server);
  for (const std::string &Server : Missing)
    remove(Server, NewVersion);
  Version = NewVersion;
  return true;
}

bool server_catalog::apply(const schema::server_entries &Changes) {
  if (Changes.after() > Version || Changes.version() < Version)
    return false;
  for (const schema::server_entry &Entry : Changes.changed())
    set(toEntry(Entry), Changes.version());
  for (const std::string &Server : Changes.removed())
    remove(Server, Changes.version());
  Version = Changes.version();
  return true;
}

void server_catalog::confirm(std::uint64_t NewVersion) { Version = std::max(Version, NewVersion); }

void server_catalog::clear() {
  Records.clear();
  Removals.clear();
  Version = 0;
}

schema::server_entries server_catalog::changesSince(std::uint64_t After) const {
  schema::server_entries Changes;
  Changes.set_after(After);
  Changes.set_version(Version);
  for (const auto &[Server, Record] : Records)
    if (Record.ChangedAt > After)
      *Changes.add_changed() = toMessage(Record.Entry);
  for (const removal &Removal : Removals)
    if (Removal.RemovedAt > After && !Records.contains(Removal.Server))
      Changes.add_removed(Removal.Server);
  return Changes;
}

std::vector<server_entry> server_catalog::entries() const {
  std::vector<server_entry> Entries;
  for (const auto &[Server, Record] : Records)
    Entries.push_back(Record.Entry);
  return Entries;
}

void server_catalog::set(const server_entry &Entry, std::uint64_t ChangedAt) {
  auto [Found, IsNew] = Records.try_emplace(Entry.Target.Id);
  if (!IsNew && saySame(Found->second.Entry, Entry))
    return;
  Found->second = {Entry, ChangedAt};
}

void server_catalog::remove(const std::string &Server, std::uint64_t RemovedAt) {
  if (Records.erase(Server) == 0)
    return;
  Removals.push_back({Server, RemovedAt});
  if (Removals.size() > MaxRemovals)
    Removals.pop_front();
}

} // namespace yuccaplank::dispatch
