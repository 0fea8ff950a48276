#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/testing/cli_run.hpp"
#include "yuccaplank/testing/story.hpp"

using namespace yuccaplank;
using testing::story;

namespace {

constexpr auto Report = R"({"lines":[{"service":"<script>alert('x')</script>","objective_percent":99.9,
  "window_s":3600,"good":10,"total":12,"attained_percent":83.3,"burn_rate":2.5,"budget_left_percent":-10}],
  "silent":["vm\"3"]})";

// Guards against names that act as markup on the page.
const story Escaping("burn report: HTML escaping", [] {
  CPPUNIT_ASSERT_EQUAL(std::string("&lt;a href=&quot;&#39;&quot;&gt;&amp;amp;"),
                       cli::escapeHtml("<a href=\"'\">&amp;"));
  std::string Page = cli::formatBurnHtml(nlohmann::ordered_json::parse(Report));
  CPPUNIT_ASSERT(Page.find("<script") == std::string::npos);
  CPPUNIT_ASSERT(Page.find("&lt;script&gt;") != std::string::npos);
  CPPUNIT_ASSERT(Page.find("vm&quot;3") != std::string::npos);
});

// Guards against a page that needs other files, or lacks the plot.
const story Page("burn report: one self-contained page", [] {
  testing::cli_run Run([](const wire::http_call &) { return testing::replyWith(200, Report); });
  CPPUNIT_ASSERT_EQUAL(0, Run.run({"report", "burn", "--html", "burn.html", "--operator", "127.0.0.1:1"}));
  const std::string &Html = Run.Files["burn.html"];
  CPPUNIT_ASSERT(Html.find("<svg ") != std::string::npos);
  CPPUNIT_ASSERT(Html.find(" src=") == std::string::npos);
  CPPUNIT_ASSERT(Html.find(" href=") == std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, Run.run({"report", "burn", "--operator", "127.0.0.1:1"}));
  CPPUNIT_ASSERT(Run.Out.find("2.50") != std::string::npos);
});

} // namespace
