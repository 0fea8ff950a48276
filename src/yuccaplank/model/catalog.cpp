#include "yuccaplank/model/catalog.hpp"

namespace yuccaplank::model {
namespace {

class catalog_impl final : public catalog {
public:
  bool merge(const schema::service_revision &Revision) override {
    auto &Known = Services[Revision.document().service()];
    std::uint64_t KnownRevision = Known ? Known->revision() : 0;
    if (Revision.revision() <= KnownRevision) {
      if (!Known)
        Services.erase(Revision.document().service());
      return false;
    }
    Version += Revision.revision() - KnownRevision;
    Known = std::make_shared<const schema::service_revision>(Revision);
    return true;
  }

  [[nodiscard]] std::shared_ptr<const schema::service_revision>
  find(const std::string &Service) const override {
    auto Found = Services.find(Service);
    return Found == Services.end() ? nullptr : Found->second;
  }

  [[nodiscard]] std::vector<std::shared_ptr<const schema::service_revision>> all() const override {
    std::vector<std::shared_ptr<const schema::service_revision>> Revisions;
    Revisions.reserve(Services.size());
    for (const auto &[Name, Revision] : Services)
      Revisions.push_back(Revision);
    return Revisions;
  }

  [[nodiscard]] std::uint64_t version() const override { return Version; }
  [[nodiscard]] bool ready() const override { return Ready; }
  void markReady() override { Ready = true; }

private:
  std::map<std::string, std::shared_ptr<const schema::service_revision>> Services;
  std::uint64_t Version = 0;
  bool Ready = false;
};

} // namespace

std::unique_ptr<catalog> makeCatalog() { return std::make_unique<catalog_impl>(); }

} // namespace yuccaplank::model
