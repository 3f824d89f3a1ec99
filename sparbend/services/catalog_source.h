// Where the configuration in force comes from. The service named "config" is
// one of these: the fold of the declarations log, or a follower of whole
// configurations.
#ifndef SPARBEND_SERVICES_CATALOG_SOURCE_H_
#define SPARBEND_SERVICES_CATALOG_SOURCE_H_

#include <memory>
#include <string>

#include "sparbend/core/catalog.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend {

class CatalogSource : public Service {
 public:
  // Whether callers may be served: a configuration and a list are at hand.
  virtual auto ready() const -> bool = 0;
  virtual auto why_not_ready() const -> std::string = 0;
  // Never null; empty before the first configuration.
  virtual auto catalog() const -> std::shared_ptr<const Catalog> = 0;
  // Rises with each configuration taken; for logs and peers.
  virtual auto version() const -> int64_t = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CATALOG_SOURCE_H_
