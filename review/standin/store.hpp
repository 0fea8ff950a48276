// Stand-in of the platform's metadata store: rows-tx, rows-get, rows-parts and rows-feed as the pages tell
// them. The operator and the workers write through /internal, which the system does not use.
#pragma once

#include "common.hpp"

#include <condition_variable>
#include <set>
#include <tuple>

class store {
public:
  explicit store(double HeartbeatMs) : HeartbeatMs(HeartbeatMs) {}

  reply handle(const request &Request) {
    if (Request.Path == "/yuccaplank/rows-tx")
      return transact(Request);
    if (Request.Path == "/yuccaplank/rows-get")
      return get(Request);
    if (Request.Path == "/yuccaplank/rows-parts")
      return parts(Request);
    if (Request.Path == "/yuccaplank/rows-feed")
      return feed(Request);
    if (Request.Path == "/internal/put")
      return internalPut(Request);
    return {404, "{}", false};
  }

  // Removes the entries of workers that have been silent for three heartbeat intervals.
  void expireWorkers() {
    std::lock_guard Guard(Mutex);
    for (auto &[Key, Row] : Rows)
      if (std::get<0>(Key) == "servers" && !Row.Deleted && nowMs() - Row.WrittenAt > 3 * HeartbeatMs) {
        Row = {"", ++Version, true, nowMs()};
        Changed.notify_all();
      }
  }

private:
  using row_key = std::tuple<std::string, std::string, std::string>; // table, part, key
  struct row {
    std::string Value; // base64
    std::uint64_t Version = 0;
    bool Deleted = false;
    double WrittenAt = 0;
  };

  static row_key keyOf(const json &Row) {
    return {Row.value("table", ""), Row.value("part", ""), Row.value("key", "")};
  }
  static json toJson(const row_key &Key, const row &Row) {
    json Result{{"table", std::get<0>(Key)},
                {"part", std::get<1>(Key)},
                {"key", std::get<2>(Key)},
                {"value", Row.Value},
                {"version_number", Row.Version}};
    if (Row.Deleted)
      Result["is_deleted"] = true;
    return Result;
  }
  json base() const { return {{"version_number", Version}, {"now_ms", static_cast<std::int64_t>(nowMs())}}; }

  reply transact(const request &Request) {
    json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return {400, "{}", false};
    sleepMs(8);
    std::lock_guard Guard(Mutex);
    json Conflicts = json::array();
    bool Holds = true;
    for (const json &Expected : Body.value("expected_revision", json::array())) {
      auto Found = Rows.find(keyOf(Expected));
      bool Exists = Found != Rows.end() && !Found->second.Deleted;
      std::uint64_t Actual = Exists ? Found->second.Version : 0;
      Holds = Holds && Actual == Expected.value("version_number", std::uint64_t{0});
      if (Exists)
        Conflicts.push_back(toJson(Found->first, Found->second));
    }
    json Answer = base();
    if (!Holds) {
      Answer["rows"] = Conflicts;
      return {412, Answer.dump(), false};
    }
    for (const char *List : {"puts", "remove"})
      for (const json &Row : Body.value(List, json::array()))
        if (std::string Table = Row.value("table", ""); Table == "op" || Table == "servers")
          return {403, "{}", false};
    ++Version;
    for (const json &Put : Body.value("puts", json::array()))
      Rows[keyOf(Put)] = {Put.value("value", ""), Version, false, nowMs()};
    for (const json &Removed : Body.value("remove", json::array()))
      if (auto Found = Rows.find(keyOf(Removed)); Found != Rows.end())
        Found->second = {"", Version, true, nowMs()};
    Changed.notify_all();
    return {200, base().dump(), false};
  }

  reply get(const request &Request) {
    auto Query = Request.Query;
    sleepMs(4);
    std::lock_guard Guard(Mutex);
    json Answer = base();
    Answer["rows"] = json::array();
    Answer["has_more"] = false;
    std::size_t Limit = Query.contains("limit") ? std::stoul(Query["limit"]) : 500;
    for (const auto &[Key, Row] : Rows) {
      if (std::get<0>(Key) != Query["table"] || std::get<1>(Key) != Query["part"] || Row.Deleted)
        continue;
      if (std::get<2>(Key) < Query["from"] || (Query.contains("to") && std::get<2>(Key) >= Query["to"]))
        continue;
      if (Answer["rows"].size() >= std::min<std::size_t>(Limit, 500)) {
        Answer["has_more"] = true;
        break;
      }
      Answer["rows"].push_back(toJson(Key, Row));
    }
    return {200, Answer.dump(), false};
  }

  reply parts(const request &Request) {
    auto Query = Request.Query;
    std::lock_guard Guard(Mutex);
    std::set<std::string> Parts;
    for (const auto &[Key, Row] : Rows)
      if (std::get<0>(Key) == Query["table"] && !Row.Deleted)
        Parts.insert(std::get<1>(Key));
    return {200, json{{"parts", Parts}}.dump(), false};
  }

  reply feed(const request &Request) {
    auto Query = Request.Query;
    std::uint64_t After = std::stoull(Query["after"]);
    double Until = nowMs() + std::min(30000.0, Query.contains("wait_ms") ? std::stod(Query["wait_ms"]) : 0);
    sleepMs(4);
    std::unique_lock Guard(Mutex);
    while (true) {
      std::vector<std::pair<std::uint64_t, json>> Found;
      for (const auto &[Key, Row] : Rows)
        if (std::get<0>(Key) == Query["table"] && Row.Version > After)
          Found.emplace_back(Row.Version, toJson(Key, Row));
      double Left = Until - nowMs();
      if (!Found.empty() || Left <= 0) {
        std::sort(Found.begin(), Found.end(), [](const auto &A, const auto &B) { return A.first < B.first; });
        json Answer = base();
        Answer["rows"] = json::array();
        for (auto &[RowVersion, Row] : Found)
          Answer["rows"].push_back(std::move(Row));
        return {200, Answer.dump(), false};
      }
      Changed.wait_for(Guard, std::chrono::duration<double, std::milli>(Left));
    }
  }

  reply internalPut(const request &Request) {
    json Body = json::parse(Request.Body);
    std::lock_guard Guard(Mutex);
    Rows[{Body["table"], "", Body["key"]}] = {encodeBase64(Body["value"].get<std::string>()), ++Version,
                                              false, nowMs()};
    Changed.notify_all();
    return {200, base().dump(), false};
  }

  double HeartbeatMs;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<row_key, row> Rows;
  std::uint64_t Version = 100;
};

[[noreturn]] inline void runStore(const arguments &Options) {
  auto *Store = new store(Options.number("heartbeat-ms", 1500));
  int Listener = listenOn(Options.text("listen"));
  std::thread([Store] {
    while (true) {
      sleepMs(100);
      Store->expireWorkers();
    }
  }).detach();
  serveForever(Listener, [Store](const request &Request) { return Store->handle(Request); });
}
