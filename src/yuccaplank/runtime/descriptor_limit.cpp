#include "yuccaplank/runtime/descriptor_limit.hpp"

#include <sys/resource.h>

namespace yuccaplank::runtime {

void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace yuccaplank::runtime
