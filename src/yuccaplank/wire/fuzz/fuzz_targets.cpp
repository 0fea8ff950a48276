#include "yuccaplank/wire/fuzz/fuzz_targets.hpp"

#include "job.pb.h"
#include "settings.pb.h"
#include "yuccaplank/wire/document_writer.hpp"
#include "yuccaplank/wire/settings_reader.hpp"

#include <algorithm>
#include <stdexcept>

namespace yuccaplank::wire {
namespace {

template <typename Message>
using reader = std::vector<document_issue> (*)(std::string_view Text, Message &Target);

void require(bool Condition, const char *Property) {
  if (!Condition)
    throw std::logic_error(Property);
}

void checkIssues(std::string_view Text, const std::vector<document_issue> &Issues) {
  auto Lines = 1 + std::count(Text.begin(), Text.end(), '\n');
  for (const document_issue &Issue : Issues) {
    require(Issue.Line >= 1 && Issue.Line <= Lines, "an issue refers to a line of the document");
    require(Issue.Code != runtime::errc::Ok && !Issue.Expected.empty(),
            "an issue has an error code and an expected value");
  }
}

template <typename Message> void checkReader(std::string_view Text, reader<Message> Read) {
  Message First;
  auto Issues = Read(Text, First);
  checkIssues(Text, Issues);
  if (!Issues.empty())
    return;
  std::string Written = writeDocument(First);
  Message Second;
  require(Read(Written, Second).empty(), "a written document is accepted");
  require(writeDocument(Second) == Written, "a document does not change when it is written and read again");
}

template <typename Message>
std::vector<document_issue> readAnyMessage(std::string_view Text, Message &Target) {
  return readDocument(Text, Target);
}

std::vector<document_issue> readDaemonSettings(std::string_view Text, schema::daemon_settings &Target) {
  return readSettings(Text, Target);
}

std::string_view toText(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace

int fuzzSettings(const std::uint8_t *Data, std::size_t Size) {
  std::string_view Text = toText(Data, Size);
  checkReader<schema::daemon_settings>(Text, readDaemonSettings);
  checkReader<schema::daemon_settings>(Text, readAnyMessage);
  return 0;
}

int fuzzJob(const std::uint8_t *Data, std::size_t Size) {
  checkReader<schema::job_document>(toText(Data, Size), readAnyMessage);
  return 0;
}

} // namespace yuccaplank::wire
