// Text for people: answers, tables.
#pragma once

#include "job.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::cli {

/// Results as lines "name<TAB>payload"; the id of a job in progress; nothing for other outcomes.
std::string formatAnswer(const schema::job_answer &Answer);

/// Sentence with the typed reason for any outcome but done; empty for done.
std::string explainAnswer(const schema::job_answer &Answer);

/// Column widths fit the cells; the first row is the head.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// Unix milliseconds as "2026-12-04T03:34:50Z"; "-" for 0.
std::string formatTime(std::int64_t UnixMs);

} // namespace yuccaplank::cli
