// Limit on the open file descriptors of the process.
#pragma once

namespace yuccaplank::runtime {

/// Raises the soft limit on descriptors to the hard limit, for programs with thousands of connections. A
/// failure leaves the limit as it is.
void raiseDescriptorLimit();

} // namespace yuccaplank::runtime
