#include "yuccaplank/wire/service_codec.hpp"

#include "yuccaplank/testing/story.hpp"

#include <string>

using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

std::string issuesOf(const std::string &Text) {
  schema::service_document Document;
  return wire::formatIssues(wire::readService(Text, Document));
}

// Guards against service documents with unusable names or limits that become the configuration.
const story Checks("service codec: checks", [] {
  const std::string Names = R"("service": "proofs", "team": "engraving", "pool": "render")";
  struct expectation {
    std::string Text;
    std::string Issues;
  };
  const std::string NameRule = "1 to 64 characters of a-z, 0-9, '-'\n";
  const expectation Expectations[] = {
      {"{" + Names + "}", ""},
      {"{\n}", "line 1: service: missing_field, expected " + NameRule +
                   "line 1: team: missing_field, expected " + NameRule +
                   "line 1: pool: missing_field, expected " + NameRule},
      {"{\n\"service\": \"Proofs\", \"team\": \"t\", \"pool\": \"p\"}",
       "line 2: service: out_of_range, expected " + NameRule},
      {"{\n\"service\": \"" + std::string(65, 'a') + "\", \"team\": \"t\", \"pool\": \"p\"}",
       "line 2: service: out_of_range, expected " + NameRule},
      {"{" + Names + ", \"limits\": {\n\"max_tasks_per_job\": 101}}",
       "line 2: limits.max_tasks_per_job: out_of_range, expected 0 to 100\n"},
      {"{" + Names + ", \"retry\": {\n\"budget_percent\": 101}}",
       "line 2: retry.budget_percent: out_of_range, expected 0 to 100\n"},
      {"{" + Names + ", \"objective\": {\n\"percent\": 100, \"within_ms\": 5}}",
       "line 2: objective.percent: out_of_range, expected number above 0 and below 100\n"},
      {"{" + Names + ",\n\"objective\": {\"percent\": 99}}",
       "line 2: objective.within_ms: out_of_range, expected 1 to 600000\n"},
      {"{" + Names + ",\n\"placement\": \"fastest\"}",
       "line 2: placement: out_of_range, expected one of response, messages\n"},
  };
  for (const expectation &Expectation : Expectations)
    if (auto When = section(Expectation.Text))
      CPPUNIT_ASSERT_EQUAL(Expectation.Issues, issuesOf(Expectation.Text));
});

// Guards against documents that change when they are written and read again, and against differences that
// operators are not shown.
const story Differences("service codec: writing and differences", [] {
  schema::service_document Old;
  std::string Text = R"({"service":"a","team":"b","pool":"c","weight":2,"retry":{"budget_percent":0},
                        "placement":"messages","objective":{"percent":99.9,"within_ms":800}})";
  CPPUNIT_ASSERT_EQUAL(std::string(), wire::formatIssues(wire::readService(Text, Old)));
  schema::service_document New;
  CPPUNIT_ASSERT(wire::readService(wire::writeService(Old), New).empty());
  CPPUNIT_ASSERT_EQUAL(Old.SerializeAsString(), New.SerializeAsString());
  if (auto When = section("when nothing differs"))
    CPPUNIT_ASSERT(wire::diffServices(Old, New).empty());
  if (auto When = section("when fields change, vanish and appear")) {
    New.set_weight(3);
    New.mutable_retry()->clear_budget_percent();
    New.mutable_quota()->set_max_running_tasks(7);
    New.clear_placement();
    std::vector<wire::document_difference> Expected = {{"weight", "2", "3"},
                                                       {"quota.max_running_tasks", "", "7"},
                                                       {"retry.budget_percent", "0", ""},
                                                       {"placement", "\"messages\"", ""}};
    CPPUNIT_ASSERT(Expected == wire::diffServices(Old, New));
  }
});

} // namespace
