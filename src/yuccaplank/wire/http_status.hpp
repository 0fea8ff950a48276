// Reason phrases of HTTP replies.
#pragma once

namespace yuccaplank::wire {

/// Returns the reason phrase of a status that the server replies with, "Other" for one that it does not know.
const char *reasonPhrase(int Status);

} // namespace yuccaplank::wire
