#include "yuccaplank/platform/server_client.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <array>

using namespace yuccaplank;
using namespace yuccaplank::platform;
using dispatch::order_outcome;
using testing::section;
using testing::test_case;

namespace {

wire::http_call_result reply(int Status, std::string Body) {
  wire::http_call_result Result;
  Result.Status = Status;
  Result.Body = std::move(Body);
  return Result;
}

struct expected_outcome {
  int Status;
  const char *Body;
  order_outcome Outcome;
};
constexpr auto Outcomes = std::to_array<expected_outcome>({
    {200, R"({"clock_ms":482113})", order_outcome::Accepted},
    {409, R"({"clock_ms":482113,"reason":"fence"})", order_outcome::Fenced},
    {409, R"({"clock_ms":482113,"reason":"old"})", order_outcome::Superseded},
    {409, R"({"clock_ms":482113,"reason":"late"})", order_outcome::LeaseOver},
    {409, R"({"clock_ms":482113,"reason":"room"})", order_outcome::NoRoom},
    {400, "", order_outcome::Malformed},
    {421, "", order_outcome::OtherIncarnation},
    {429, "", order_outcome::Unhealthy},
    {503, "", order_outcome::Unhealthy},
    {500, "", order_outcome::NoAnswer},
});

// Guards against an order that may have been carried out but is treated as if it had not been: its task could
// then run twice.
const test_case Orders("server client: replies to orders give the right outcome", [] {
  for (const expected_outcome &Expected : Outcomes)
    CPPUNIT_ASSERT(decodeOrderReply(reply(Expected.Status, Expected.Body)).Outcome == Expected.Outcome);
  CPPUNIT_ASSERT(decodeOrderReply(reply(200, R"({"clock_ms":5})")).ClockMs == 5);
  wire::http_call_result Failed;
  Failed.Error = make_error_code(runtime::errc::ConnectionLost);
  Failed.Stage = wire::transfer_stage::MaybeWritten;
  CPPUNIT_ASSERT(decodeOrderReply(Failed).Outcome == order_outcome::NoAnswer);
  Failed.Stage = wire::transfer_stage::NothingWritten;
  CPPUNIT_ASSERT(decodeOrderReply(Failed).Outcome == order_outcome::NotSent);
});

// Guards against an unreadable list of runs that is taken for an empty one, after which its runs would count
// as ended.
const test_case Lists("server client: lists of runs are read completely or rejected", [] {
  auto Reply = decodeHoldReply(reply(200, R"({"clock_ms":482113,"born":17,
    "running_tasks":[["5c0e7a21d94b36f8.0.0.17",2,"",41,5]],"finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"lapsed",""]]})"));
  CPPUNIT_ASSERT(Reply.Outcome == order_outcome::Accepted);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, Reply.IncarnationStartMs);
  CPPUNIT_ASSERT((Reply.Running.at(0) == dispatch::run_key{{dispatch::job_id(0x5c0e7a21d94b36f8), 17}, 2}));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, Reply.Ended.at(0).Number);
  CPPUNIT_ASSERT(Reply.Ended.at(0).End == dispatch::run_end::Lapsed);
  for (const char *Body : {"", "{}", R"({"running_tasks":[]})", R"({"running_tasks":{},"finished":[]})",
                           R"({"running_tasks":[["x",1]],"finished":[]})",
                           R"({"running_tasks":[],"finished":[[1,"5c0e7a21d94b36f8.0.0.9",1,"other",""]]})",
                           R"({"running_tasks":[["5c0e7a21d94b36f8.0.0.17","2"]],"finished":[]})"})
    CPPUNIT_ASSERT(decodeHoldReply(reply(200, Body)).Outcome == order_outcome::NoAnswer);
});

// Guards against the end of one task being attributed to another, because a name is parsed loosely.
const test_case Names("server client: names of tasks are formatted and parsed", [] {
  dispatch::task_key Task{dispatch::job_id(0xc0e7a21d94b36f8), 17};
  CPPUNIT_ASSERT_EQUAL(std::string("0c0e7a21d94b36f8.0.0.17"), taskName(Task));
  CPPUNIT_ASSERT(parseTaskName(taskName(Task)) == Task);
  for (const char *Name : {"", "0c0e7a21d94b36f8.0.0.", "0c0e7a21d94b36f8.0.1.17", "0c0e7a21d94b36f8.1.0.17",
                           "c0e7a21d94b36f8.0.0.17", "0c0e7a21d94b36f8.0.0.1x", "0C0E7A21D94B36F8.0.0."})
    CPPUNIT_ASSERT(!parseTaskName(Name));
  if (auto Then = section("digits of the id keep their case")) {
    dispatch::task_key WithCapitals{*dispatch::parseJobId("0C0E7a21D94B36f8"), 17};
    CPPUNIT_ASSERT_EQUAL(std::string("0C0E7a21D94B36f8.0.0.17"), taskName(WithCapitals));
    CPPUNIT_ASSERT(parseTaskName(taskName(WithCapitals)) == WithCapitals);
  }
});

} // namespace
