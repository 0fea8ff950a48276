#include "settings.pb.h"
#include "yuccaplank/testing/story.hpp"
#include "yuccaplank/wire/job_codec.hpp"
#include "yuccaplank/wire/service_codec.hpp"

#include <fstream>
#include <iterator>
#include <string>

using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

std::string exampleText(const std::string &Name) {
  std::ifstream Stream(std::string(YUCCAPLANK_SOURCE_DIR) + "/examples/" + Name);
  return {std::istreambuf_iterator<char>(Stream), std::istreambuf_iterator<char>()};
}

// Guards against examples that the programs no longer accept.
const story Examples("examples: all are accepted", [] {
  if (auto When = section("daemon settings")) {
    schema::daemon_settings Settings;
    CPPUNIT_ASSERT_EQUAL(std::string(), wire::formatIssues(wire::readSettings(
                                            exampleText("yuccaplankd.settings.json"), Settings)));
  }
  for (const char *Name : {"proofs.service.json", "stock.service.json"})
    if (auto When = section(Name)) {
      schema::service_document Document;
      CPPUNIT_ASSERT_EQUAL(std::string(), wire::formatIssues(wire::readService(exampleText(Name), Document)));
    }
  if (auto When = section("job")) {
    schema::job Job;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         wire::formatIssues(wire::readJob(exampleText("nameplate_proof.job.json"), Job)));
    schema::service_document Service;
    wire::readService(exampleText("proofs.service.json"), Service);
    CPPUNIT_ASSERT_EQUAL(Service.service(), Job.service());
  }
});

} // namespace
