// Interface of the service named "config", the source of the active
// configuration. It has two implementations: ConfigService, which replays a log
// of configuration changes, and Declarations, which follows full configurations
// in the platform's store.
#ifndef SPARBEND_SERVICES_CATALOG_SOURCE_H_
#define SPARBEND_SERVICES_CATALOG_SOURCE_H_

#include <memory>
#include <string>

#include "sparbend/core/catalog.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend {

class CatalogSource : public Service {
 public:
  // Whether clients may be served: a configuration and a list of targets have
  // been read.
  virtual auto ready() const -> bool = 0;
  // What is missing, in words for clients and operators; meaningful only while
  // ready() is false.
  virtual auto not_ready_reason() const -> std::string = 0;
  // The active configuration. Never null; empty until the first one is applied.
  virtual auto catalog() const -> std::shared_ptr<const Catalog> = 0;
  // Grows with each configuration that is applied; for logs and peers.
  virtual auto version() const -> int64_t = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CATALOG_SOURCE_H_
