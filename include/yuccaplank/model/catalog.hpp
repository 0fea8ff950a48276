// Service documents known to a VM. Revisions of a service only grow.
#pragma once

#include "service.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::model {

class catalog {
public:
  virtual ~catalog() = default;
  /// Takes a revision when it is higher than the known one; returns whether it did.
  virtual bool merge(const schema::service_revision &Revision) = 0;
  /// Null when the service is unknown.
  [[nodiscard]] virtual std::shared_ptr<const schema::service_revision>
  find(const std::string &Service) const = 0;
  [[nodiscard]] virtual std::vector<std::shared_ptr<const schema::service_revision>> all() const = 0;
  /// Sum of all revisions; grows with every merge that takes effect.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  /// Whether any source, the platform or a peer, has ever delivered the documents.
  [[nodiscard]] virtual bool ready() const = 0;
  virtual void markReady() = 0;
};

std::unique_ptr<catalog> makeCatalog();

} // namespace yuccaplank::model
