// JSON form of job documents and answers.
#pragma once

#include "job.pb.h"
#include "yuccaplank/runtime/error.hpp"
#include "yuccaplank/wire/http_server.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::wire {

/// Most tasks in one job.
inline constexpr int MaxTasksPerJob = 100;

/// Reads a job document; checks names, counts and ranges, but not whether the service exists.
std::vector<document_issue> readJob(std::string_view Text, schema::job &Job);
/// JSON document of a job.
std::string writeJob(const schema::job &Job);

/// JSON body of an answer, see docs/API.md.
std::string writeAnswer(const schema::job_answer &Answer);
/// Inverse of writeAnswer; errc::MalformedDocument for anything that is not an answer.
runtime::result<schema::job_answer> readAnswer(std::string_view Text);

/// HTTP status of an answer, by its outcome and reason.
int httpStatus(const schema::job_answer &Answer);
/// Whole reply with status, body, and Retry-After.
http_reply answerReply(const schema::job_answer &Answer);

/// Whether an answer says that this very submission has reached no authority: unknown only because an earlier
/// submission under the same id may have run. A caller that made no earlier one may use another id.
bool neverDelivered(const schema::job_answer &Answer);

/// Answer with an outcome and a reason.
schema::job_answer makeAnswer(std::string Id, schema::outcome_kind Outcome, runtime::errc Reason,
                              std::string Subject = {}, std::uint32_t RetryAfterMs = 0);

} // namespace yuccaplank::wire
