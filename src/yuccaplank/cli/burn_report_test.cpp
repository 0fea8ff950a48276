#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/test_case.hpp"

using namespace yuccaplank;
using testing::test_case;

namespace {

constexpr double Tolerance = 1e-6;
constexpr auto Counts =
    R"({"vm":"vm1","objective_percent":95,"queues":[{"queue":"<script>alert('x')</script>",
  "windows":[{"window_s":3600,"good":10,"total":12}]}]})";

schema::burn_counts makeCounts(std::uint64_t Good, std::uint64_t Total) {
  schema::burn_counts Result;
  Result.set_objective_percent(90);
  schema::burn_queue &Queue = *Result.add_queues();
  Queue.set_queue("proofs");
  schema::burn_window &Window = *Queue.add_windows();
  Window.set_window_s(300);
  Window.set_good(Good);
  Window.set_total(Total);
  return Result;
}

// Guards against a report that shows the counts of one VM as those of all VMs, against a wrong burn rate or
// budget, and against a division by zero for a queue without jobs.
const test_case Merge("burn report: counts of several VMs are added up", [] {
  auto Lines = cli::mergeBurn({makeCounts(8, 10), makeCounts(9, 10)});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lines.size());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, Lines[0].Total);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(85, Lines[0].AttainedPercent, Tolerance);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, Lines[0].BurnRate, Tolerance);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(-50, Lines[0].BudgetLeftPercent, Tolerance);
  auto Idle = cli::mergeBurn({makeCounts(0, 0)});
  CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Idle[0].AttainedPercent, Tolerance);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Idle[0].BurnRate, Tolerance);
});

// Guards against queue or VM names that a browser interprets as markup because they are not escaped.
const test_case Escaping("burn report: names are escaped in HTML", [] {
  CPPUNIT_ASSERT_EQUAL(std::string("&lt;a href=&quot;&#39;&quot;&gt;&amp;amp;"),
                       cli::escapeHtml("<a href=\"'\">&amp;"));
  cli::burn_line Line;
  Line.Queue = "<script>alert('x')</script>";
  std::string Page = cli::formatBurnHtml({Line}, {"vm\"3"});
  CPPUNIT_ASSERT(Page.find("<script") == std::string::npos);
  CPPUNIT_ASSERT(Page.find("&lt;script&gt;") != std::string::npos);
  CPPUNIT_ASSERT(Page.find("vm&quot;3") != std::string::npos);
});

// Guards against a page that cannot be passed on because it refers to other files, and against a page without
// the plot.
const test_case Page("burn report: the HTML page refers to no other files", [] {
  testing::cli_run Run([](const wire::http_call &) { return testing::replyWith(200, Counts); });
  CPPUNIT_ASSERT_EQUAL(0, Run.run({"report", "burn", "--html", "burn.html", "--operator", "127.0.0.1:1"}));
  const std::string &Html = Run.Files["burn.html"];
  CPPUNIT_ASSERT(Html.find("<svg ") != std::string::npos);
  CPPUNIT_ASSERT(Html.find(" src=") == std::string::npos);
  CPPUNIT_ASSERT(Html.find(" href=") == std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, Run.run({"report", "burn", "--operator", "127.0.0.1:1"}));
  CPPUNIT_ASSERT(Run.Out.find("3.33") != std::string::npos);
});

} // namespace
