#include "relay_messages.hpp"
#include "yuccaplank/dispatch/job_id.hpp"
#include "yuccaplank/dispatch/messages.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

using namespace yuccaplank;
using namespace yuccaplank::dispatch;
using testing::section;
using testing::test_case;

namespace {

// Guards against two ids that are taken for one job, and against tasks that servers know under another id
// than the caller sent, because ids differ only in the case of their digits.
const test_case Ids("job id: digits keep their case", [] {
  job_id Id = *parseJobId("5C0e7A21d94b36F8");
  if (auto Then = section("in the text")) {
    for (const char *Text : {"5c0e7a21d94b36f8", "5C0E7A21D94B36F8", "5c0e7a21d94b36F8", "A000000000000000",
                             "0000000000000000", "FFFFFFFFFFFFFFFF", "000000000000000a"})
      CPPUNIT_ASSERT_EQUAL(std::string(Text), formatJob(*parseJobId(Text)));
    CPPUNIT_ASSERT(parseJobId("5c0e7a21d94b36f8") == job_id(0x5c0e7a21d94b36f8));
    CPPUNIT_ASSERT_EQUAL(std::string("5C0e7A21d94b36F8/3#2"), format(run_key{{Id, 3}, 2}));
  }
  if (auto Then = section("in comparisons")) {
    job_id Lower(Id.digits());
    CPPUNIT_ASSERT(Id != Lower && (Id < Lower) != (Lower < Id));
    CPPUNIT_ASSERT(!(run_key{{Id, 0}, 1} == run_key{{Lower, 0}, 1}));
  }
  if (auto Then = section("in messages")) {
    CPPUNIT_ASSERT((toRunKey(toMessage({{Id, 3}, 2})) == run_key{{Id, 3}, 2}));
    std::set<job_id> Jobs{job_id(1), job_id(0xa), Id, job_id(0xa, 1), job_id(Id.digits())};
    schema::resume_session Session;
    for (job_id Job : Jobs)
      addRelayedJob(Session, Job);
    CPPUNIT_ASSERT(relayedJobsOf(Session) == Jobs);
  }
  if (auto Then = section("and a text that is not 16 digits is no id")) {
    for (const char *Text : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36fx",
                             "+c0e7a21d94b36f8", "5C0E7A21D94B36F", "5C0E7A21D94B36FX", "X"})
      CPPUNIT_ASSERT(!parseJobId(Text));
  }
});

// Guards against two ids that have the same text, because a message says that the digit 1 is a capital.
const test_case NotLetters("job id: digits without capitals", [] {
  CPPUNIT_ASSERT(job_id(0x1234567890123456, 0xffff) == job_id(0x1234567890123456));
  CPPUNIT_ASSERT(job_id(0xa1, 0xffffffff) == job_id(0xa1, 2));
});

// Guards against larger messages between VMs for ids without capitals, which builds of the initial version
// can read.
const test_case Compatible("job id: messages about an id in lower case are those of earlier builds", [] {
  schema::task_run Run = toMessage({{job_id(0xabcdef), 3}, 2});
  CPPUNIT_ASSERT_EQUAL(std::size_t{13}, Run.ByteSizeLong());
});

} // namespace
