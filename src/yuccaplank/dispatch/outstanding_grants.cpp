#include "outstanding_grants.hpp"

#include <algorithm>

namespace yuccaplank::dispatch {

std::uint64_t outstanding_grants::add(const outstanding_grant &Grant) {
  std::uint64_t Id = ++LastId;
  Grants.emplace(Id, Grant);
  ByServer[Grant.Server].push_back(Id);
  ++CountByCoordinator[Grant.Coordinator];
  return Id;
}

std::string outstanding_grants::remove(std::uint64_t Id) {
  auto Found = Grants.find(Id);
  if (Found == Grants.end())
    return {};
  std::string Server = std::move(Found->second.Server);
  auto OfServer = ByServer.find(Server);
  std::erase(OfServer->second, Id);
  if (OfServer->second.empty())
    ByServer.erase(OfServer);
  auto OfCoordinator = CountByCoordinator.find(Found->second.Coordinator);
  if (--OfCoordinator->second == 0)
    CountByCoordinator.erase(OfCoordinator);
  Grants.erase(Found);
  return Server;
}

void outstanding_grants::removeOfServer(const std::string &Server) {
  auto Found = ByServer.find(Server);
  if (Found == ByServer.end())
    return;
  std::vector<std::uint64_t> Ids = Found->second;
  for (std::uint64_t Id : Ids)
    remove(Id);
}

std::vector<std::uint64_t> outstanding_grants::expired(runtime::time_point Now) const {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Grant] : Grants)
    if (Grant.ExpiresAt <= Now)
      Ids.push_back(Id);
  return Ids;
}

std::vector<std::uint64_t> outstanding_grants::ofCoordinator(const std::string &Coordinator) const {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Grant] : Grants)
    if (Grant.Coordinator == Coordinator)
      Ids.push_back(Id);
  return Ids;
}

std::size_t outstanding_grants::countOfServer(const std::string &Server) const {
  auto Found = ByServer.find(Server);
  return Found == ByServer.end() ? 0 : Found->second.size();
}

bool outstanding_grants::coordinatorIsFull(const std::string &Coordinator) const {
  auto Found = CountByCoordinator.find(Coordinator);
  return Found != CountByCoordinator.end() && Found->second >= MaxPerCoordinator;
}

bool outstanding_grants::anyAlone(const std::string &Server) const {
  auto Found = ByServer.find(Server);
  return Found != ByServer.end() &&
         std::ranges::any_of(Found->second, [this](std::uint64_t Id) { return Grants.at(Id).Alone; });
}

void outstanding_grants::subtractFrom(const std::string &Server, resource_amounts &Free) const {
  auto Found = ByServer.find(Server);
  if (Found == ByServer.end())
    return;
  for (std::uint64_t Id : Found->second)
    Free.subtract(Grants.at(Id).Size);
}

} // namespace yuccaplank::dispatch
