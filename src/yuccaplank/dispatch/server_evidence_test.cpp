#include "server_evidence.hpp"
#include "server_health.hpp"
#include "yuccaplank/testing/test_case.hpp"

#include <cppunit/TestAssert.h>

#include <cmath>

using namespace yuccaplank;
using dispatch::failure_evidence;
using dispatch::fleet_shares;
using dispatch::job_id;
using dispatch::long_run_evidence;
using dispatch::server_health;
using dispatch::speed_estimate;
using runtime::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::section;
using testing::test_case;

namespace {

// Guards against a server that fails part of its runs and keeps getting work, and against the exclusion of
// sound servers when tasks fail everywhere.
const test_case Failures("server evidence: failures", [] {
  fleet_shares Fleet;
  failure_evidence Server(Fleet);
  time_point Now{};
  for (int Run = 0; Run < 20; ++Run)
    Server.onDone(Now);
  if (auto When = section("a single failure is no evidence")) {
    Server.onFailure(job_id(1), Now);
    CPPUNIT_ASSERT(!Server.isFaulty(Now));
  }
  if (auto When = section("two failures of tasks of one job are none, three are")) {
    Server.onFailure(job_id(1), Now);
    Server.onFailure(job_id(1), Now);
    CPPUNIT_ASSERT(!Server.isFaulty(Now));
    Server.onFailure(job_id(1), Now);
    CPPUNIT_ASSERT(Server.isFaulty(Now));
  }
  if (auto When = section("two failures with two runs between them are")) {
    Server.onFailure(job_id(1), Now);
    Server.onDone(Now);
    Server.onDone(Now);
    Server.onFailure(job_id(2), Now);
    CPPUNIT_ASSERT(Server.isFaulty(Now));
  }
  if (auto When = section("two failures are none while all servers fail a tenth of their runs")) {
    failure_evidence Other(Fleet);
    for (std::uint64_t Run = 0; Run < 200; ++Run)
      Run % 10 == 0 ? Other.onFailure(job_id(100 + Run), Now) : Other.onDone(Now);
    Server.onFailure(job_id(1), Now);
    Server.onFailure(job_id(2), Now);
    CPPUNIT_ASSERT(!Server.isFaulty(Now));
    if (auto Then = section("but they are when these failures are long past")) {
      Now += seconds(20);
      Server.onFailure(job_id(3), Now);
      Server.onFailure(job_id(4), Now);
      CPPUNIT_ASSERT(Server.isFaulty(Now));
    }
  }
});

// Guards against a server that hangs or turns slow and gets work until its first runs have ended, and against
// the avoidance of a sound server with one long task.
const test_case LongRuns("server evidence: runs in progress that take long", [] {
  fleet_shares Fleet;
  long_run_evidence Server(Fleet);
  time_point Now{};
  Server.onDoneInTime(Now);
  Server.onLong(job_id(1), Now);
  CPPUNIT_ASSERT_EQUAL(0.0, Server.slowness({{job_id(1), 2.0}}, Now));
  if (auto When = section("of two long runs, the shorter one tells the least slowness")) {
    Server.onLong(job_id(2), Now);
    CPPUNIT_ASSERT_EQUAL(1.0, Server.slowness({{job_id(1), 2.0}, {job_id(2), 1.0}}, Now));
    CPPUNIT_ASSERT_EQUAL(0.0, Server.slowness({{job_id(2), 1.0}}, Now));
  }
  if (auto When = section("two long runs of one job are no evidence"))
    CPPUNIT_ASSERT_EQUAL(0.0, Server.slowness({{job_id(1), 2.0}, {job_id(1), 1.0}}, Now));
  if (auto When = section("two runs of which many others ended in time are no reason for early stops")) {
    for (int Run = 0; Run < 6; ++Run)
      Server.onDoneInTime(Now);
    Server.onLong(job_id(2), Now);
    CPPUNIT_ASSERT(!Server.isStrong({{job_id(1), 2.0}, {job_id(2), 1.0}}, Now));
  }
  if (auto When = section("three long runs in succession are")) {
    Server.onLong(job_id(2), Now);
    Server.onLong(job_id(3), Now);
    CPPUNIT_ASSERT(Server.isStrong({{job_id(2), 2.0}, {job_id(3), 1.0}}, Now));
  }
});

// Guards against an estimate that follows a change of speed only after ten runs, that a single long task
// raises, or that stays high because the server gets no more runs.
const test_case Speed("server evidence: speed", [] {
  speed_estimate Speed;
  time_point Now{};
  auto Run = [&, Job = std::uint64_t{0}](double Factor) mutable {
    Speed.onDone(job_id(++Job), 100 * Factor, 100, Now);
  };
  for (int Index = 0; Index < 20; ++Index)
    Run(1);
  Run(7);
  CPPUNIT_ASSERT(Speed.slowness() < std::log(1.3));
  if (auto When = section("after two slow runs it has followed")) {
    Run(6);
    CPPUNIT_ASSERT(Speed.slowness() > std::log(5.0));
    if (auto Then = section("and after two ordinary ones it is back")) {
      Run(1);
      Run(1);
      CPPUNIT_ASSERT(Speed.slowness() < std::log(1.1));
    }
    if (auto Then = section("and without runs it is back after two seconds")) {
      CPPUNIT_ASSERT(!Speed.resetStaleStep(Now + milliseconds(1900)));
      CPPUNIT_ASSERT(Speed.resetStaleStep(Now + milliseconds(2000)));
      CPPUNIT_ASSERT(Speed.slowness() < std::log(1.3));
    }
  }
});

// Guards against work for a server that ends and restarts over and over, and against the exclusion of a
// server after a single restart.
const test_case Flapping("server health: a server that restarts over and over", [] {
  fleet_shares Fleet;
  server_health Health(Fleet, seconds(1), seconds(4));
  time_point Now{};
  CPPUNIT_ASSERT(!Health.onReturn(Now));
  CPPUNIT_ASSERT(Health.usable());
  Now += milliseconds(1200);
  CPPUNIT_ASSERT(Health.onReturn(Now));
  CPPUNIT_ASSERT(!Health.endExpiredQuarantine(Now + milliseconds(990)));
  Now += milliseconds(990);
  CPPUNIT_ASSERT(Health.onReturn(Now));
  CPPUNIT_ASSERT(!Health.endExpiredQuarantine(Now + milliseconds(1990)));
  CPPUNIT_ASSERT(Health.endExpiredQuarantine(Now + milliseconds(2000)));
  CPPUNIT_ASSERT(Health.onProbation());
});

} // namespace
