// Returns memory that is no longer read to the operating system while its allocation remains.
#pragma once

#include <sys/mman.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>

namespace yuccaplank::wire {

// Smaller areas are not worth a system call for each request.
inline constexpr std::size_t MinReleasedBytes = std::size_t{16} << 10U;

/// Releases the pages that lie completely within an area of private memory; they read as zero afterwards. h2o
/// keeps the body of a request until its reply has been sent, which takes as long as the job.
inline void releasePages(char *Start, std::size_t Bytes) {
  if (!Start || Bytes < MinReleasedBytes)
    return;
  auto PageBytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  auto Address = reinterpret_cast<std::uintptr_t>(Start);
  std::size_t Skipped = (PageBytes - Address % PageBytes) % PageBytes;
  if (Skipped >= Bytes)
    return;
  std::size_t Released = (Bytes - Skipped) / PageBytes * PageBytes;
  if (Released > 0)
    static_cast<void>(madvise(Start + Skipped, Released, MADV_DONTNEED));
}

} // namespace yuccaplank::wire
