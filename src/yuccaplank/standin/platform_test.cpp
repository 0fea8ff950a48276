#include "yuccaplank/standin/platform.hpp"

#include "yuccaplank/storage/table.hpp"
#include "yuccaplank/testing/sockets.hpp"
#include "yuccaplank/testing/story.hpp"

#include <fmt/format.h>

#include <optional>

using namespace std::chrono_literals;
using namespace yuccaplank;
using standin::reply_delivery;
using testing::section;
using testing::story;

namespace {

wire::http_request requestOf(std::string Method, std::string Path, std::string Body = {}) {
  wire::http_request Request;
  Request.Method = std::move(Method);
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  return Request;
}

const std::string Transaction = R"({"checks":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"1"}]})";

// Guards against a stand-in whose protocol or faults differ from what tests assume.
const story Service("stand-in platform: protocol and faults", [] {
  runtime::manual_clock Clock;
  standin::platform_options Options;
  Options.Vms.add_entry_vms()->set_id("vm1");
  auto Platform = standin::makePlatformService(Clock, Options);
  auto Handle = [&](const std::string &Method, const std::string &Path, const std::string &Body = {}) {
    return Platform->handle(requestOf(Method, Path, Body));
  };
  auto Commit = [&] { return Handle("POST", "/v1/table/transaction", Transaction); };
  auto RowA = [&] {
    auto Request = requestOf("GET", "/v1/table/row");
    Request.Query = {{"key", "a"}};
    return Platform->handle(Request).Reply.Body;
  };
  const std::string Absent = R"({"key":"a","revision":0,"value":""})";
  const std::string Present = R"({"key":"a","revision":1,"value":"1"})";

  if (auto When = section("when transactions are committed")) {
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"revision":1})"), Commit().Reply.Body);
    auto Second = Commit();
    CPPUNIT_ASSERT_EQUAL(409, Second.Reply.Status);
    CPPUNIT_ASSERT_EQUAL(R"({"conflicts":[)" + Present + "]}", Second.Reply.Body);
    CPPUNIT_ASSERT_EQUAL(Present, RowA());
  }
  if (auto When = section("when the VM list is read")) {
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"version":1,"entry_vms":[{"id":"vm1"}]})"),
                         Handle("GET", "/v1/vms").Reply.Body);
    // Guards against sending the whole list when nothing has changed.
    auto Again = requestOf("GET", "/v1/vms");
    Again.Headers = {{"if-none-match", R"("1")"}};
    CPPUNIT_ASSERT_EQUAL(304, Platform->handle(Again).Reply.Status);
    CPPUNIT_ASSERT_EQUAL(std::string(), Platform->handle(Again).Reply.Body);
    CPPUNIT_ASSERT_EQUAL(200, Handle("POST", "/vms", R"({"entry_vms":[{"id":"vm2"}]})").Reply.Status);
    CPPUNIT_ASSERT(Handle("GET", "/v1/vms").Reply.Body.find("vm1") != std::string::npos);
    Clock.advance(2s);
    CPPUNIT_ASSERT(Handle("GET", "/v1/vms").Reply.Body.find("vm2") != std::string::npos);
  }
  if (auto When = section("when requests are malformed")) {
    CPPUNIT_ASSERT_EQUAL(400, Handle("POST", "/v1/table/transaction", "{}").Reply.Status);
    CPPUNIT_ASSERT_EQUAL(400, Handle("GET", "/v1/table/changes").Reply.Status);
    CPPUNIT_ASSERT_EQUAL(400, Handle("POST", "/fault", R"({"mode":"odd"})").Reply.Status);
    CPPUNIT_ASSERT_EQUAL(400, Handle("POST", "/vms", R"({"odd":1})").Reply.Status);
    CPPUNIT_ASSERT_EQUAL(404, Handle("GET", "/v1/other").Reply.Status);
  }
  if (auto When = section("when it is down")) {
    Handle("POST", "/fault", R"({"mode":"down"})");
    CPPUNIT_ASSERT_EQUAL(503, Commit().Reply.Status);
    Handle("POST", "/fault", "{}");
    CPPUNIT_ASSERT_EQUAL(Absent, RowA());
  }
  if (auto When = section("when it hangs")) {
    Handle("POST", "/fault", R"({"mode":"hang"})");
    CPPUNIT_ASSERT(Commit().Delivery == reply_delivery::Withhold);
    Handle("POST", "/fault", "{}");
    CPPUNIT_ASSERT_EQUAL(Absent, RowA());
  }
  if (auto When = section("when it is slow")) {
    Handle("POST", "/fault", R"({"mode":"slow","delay_ms":250})");
    CPPUNIT_ASSERT(Commit().Delay == 250ms);
  }
  if (auto When = section("when replies are lost")) {
    Handle("POST", "/fault", R"({"lose_next_replies":1})");
    CPPUNIT_ASSERT(Commit().Delivery == reply_delivery::Drop);
    CPPUNIT_ASSERT_EQUAL(Present, RowA());
    CPPUNIT_ASSERT(Commit().Delivery == reply_delivery::Send);
    Handle("POST", "/fault", R"({"lose_replies_percent":100})");
    CPPUNIT_ASSERT(Commit().Delivery == reply_delivery::Drop);
  }
  if (auto When = section("when it refuses transactions")) {
    Handle("POST", "/fault", R"({"refuse_transactions":true})");
    CPPUNIT_ASSERT_EQUAL(503, Commit().Reply.Status);
    CPPUNIT_ASSERT_EQUAL(Absent, RowA());
  }
  if (auto When = section("when it is restored from an old copy")) {
    std::string Copy = Handle("GET", "/backup").Reply.Body;
    Commit();
    CPPUNIT_ASSERT_EQUAL(200, Handle("POST", "/restore", Copy).Reply.Status);
    CPPUNIT_ASSERT_EQUAL(Absent, RowA());
  }
  if (auto When = section("when requests are counted")) {
    Clock.advance(1h);
    Commit();
    for (int Index = 0; Index < 20; ++Index)
      RowA();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"reads":20,"reads_per_s":2.0,"writes":1,"writes_per_s":0.1})"),
                         Handle("GET", "/counters").Reply.Body);
    Clock.advance(20s);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"reads":20,"reads_per_s":0.0,"writes":1,"writes_per_s":0.0})"),
                         Handle("GET", "/counters").Reply.Body);
  }
});

// Guards against a client and a stand-in that disagree on the protocol once real sockets are between them.
const story Client("table client: over HTTP", [] {
  auto Loop = runtime::makeLoop();
  auto Server = standin::makePlatformServer(*Loop, {});
  CPPUNIT_ASSERT(Server.has_value());
  auto Http = wire::makeHttpClient(*Loop);
  storage::table_options Options;
  Options.Address = fmt::format("127.0.0.1:{}", Server.value()->port());
  auto Table = storage::makeTable(*Http, Options);
  std::optional<runtime::result<storage::transaction_reply>> Reply;
  auto Commit = [&](storage::table_transaction Transaction) {
    Table->commit(std::move(Transaction),
                  [&](runtime::result<storage::transaction_reply> Result) { Reply = std::move(Result); });
    testing::runUntil(*Loop, [&] { return Reply.has_value(); });
  };

  if (auto When = section("when a row with special characters is written and read")) {
    const std::string Key = "k/ä &=%+?#";
    Commit({{{Key, 0}}, {{Key, "value \n\""}}});
    CPPUNIT_ASSERT(Reply->has_value() && Reply->value().Committed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Reply->value().Revision);
    std::string Row;
    Table->read(Key, [&](const runtime::result<storage::table_row> &Result) {
      Row = Result
                ? fmt::format("{}={}@{}", Result.value().Key, Result.value().Value, Result.value().Revision)
                : Result.error().message();
    });
    testing::runUntil(*Loop, [&] { return !Row.empty(); });
    CPPUNIT_ASSERT_EQUAL(Key + "=value \n\"@1", Row);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Table->totals().Reads);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Table->totals().Writes);
  }
  if (auto When = section("when a check fails")) {
    Commit({{{"a", 5}}, {}});
    CPPUNIT_ASSERT(Reply->has_value() && !Reply->value().Committed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Reply->value().Conflicts.size());
  }
  if (auto When = section("when rows, changes and the VM list are read")) {
    std::string Log;
    Table->rows("a", [&](const auto &Rows) { Log += Rows.has_value() ? "r" : "-"; });
    Table->changes("a", 7, [&](const auto &Changes) { Log += Changes.has_value() ? "c" : "-"; });
    Table->vms([&](const auto &List) { Log += List.has_value() ? "v" : "-"; });
    testing::runUntil(*Loop, [&] { return Log.size() == 3; });
    Table->vms([&](const auto &List) { Log += List.has_value() && List.value().version() == 1 ? "v" : "-"; });
    testing::runUntil(*Loop, [&] { return Log.size() == 4; });
    CPPUNIT_ASSERT(Log.find('-') == std::string::npos);
  }
  if (auto When = section("when the platform loses the reply")) {
    wire::http_call Fault;
    Fault.Method = "POST";
    Fault.Address = Options.Address;
    Fault.Path = "/fault";
    Fault.Body = R"({"lose_next_replies":1})";
    bool Set = false;
    Http->call(Fault, [&](const wire::http_call_result &) { Set = true; });
    testing::runUntil(*Loop, [&] { return Set; });
    Commit({{}, {{"a", "1"}}});
    CPPUNIT_ASSERT(Reply->error() == runtime::errc::PlatformUnavailable);
  }
});

} // namespace
