#include "yuccaplank/platform/store_client.hpp"
#include "base64.hpp"
#include "json_reader.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>

namespace yuccaplank::platform {
namespace {

using runtime::errc;
using runtime::result;

std::error_code toError(const wire::http_call_result &Result) {
  if (Result.Error)
    return errc::PlatformUnavailable;
  switch (Result.Status) {
  case 200:
    return {};
  case 410:
    return errc::NotFound;
  case 412:
    return errc::RevisionConflict;
  default:
    return errc::PlatformUnavailable;
  }
}

// A value that cannot be decoded is replaced by an empty one, which describes nothing, so that the other rows
// of the page remain usable.
store_row readRow(const json &Value, std::vector<field_issue> &Issues) {
  store_row Row;
  std::string Encoded;
  object_reader Reader(Value, "rows", Issues);
  Reader.requiredText("key", Row.Key);
  Reader.requiredInteger("version_number", Row.Version);
  Reader.optionalFlag("is_deleted", Row.Deleted);
  Reader.optionalText("value", Encoded);
  Row.Value = decodeBase64(Encoded).value_or("");
  return Row;
}

result<store_page> readPage(const wire::http_call_result &Result) {
  if (auto Error = toError(Result))
    return Error;
  json Body = parseJson(Result.Body);
  std::vector<field_issue> Issues;
  store_page Page;
  object_reader Reader(Body, "", Issues);
  for (const json &Row : Reader.child("rows", true, true))
    Page.Rows.push_back(readRow(Row, Issues));
  Reader.requiredInteger("version_number", Page.Version);
  Reader.optionalFlag("has_more", Page.HasMore);
  if (!Issues.empty())
    return make_error_code(errc::MalformedDocument);
  return Page;
}

result<std::uint64_t> readVersion(const wire::http_call_result &Result) {
  if (auto Error = toError(Result))
    return Error;
  json Body = parseJson(Result.Body);
  std::vector<field_issue> Issues;
  std::uint64_t Version = 0;
  object_reader(Body, "", Issues).requiredInteger("version_number", Version);
  if (!Issues.empty())
    return make_error_code(errc::MalformedDocument);
  return Version;
}

class store_client_impl final : public store_client {
public:
  store_client_impl(wire::http_client &Client, store_client_options Options)
      : Client(Client), Options(std::move(Options)) {}

  void rows(const std::string &Table, const std::string &From,
            std::function<void(result<store_page>)> OnDone) override {
    std::string Path = fmt::format("/yuccaplank/rows-get?table={}&part=", wire::percentEncode(Table));
    if (!From.empty())
      Path += "&from=" + wire::percentEncode(From);
    call("GET", Path, "", {}, [OnDone = std::move(OnDone)](const auto &Result) { OnDone(readPage(Result)); });
  }

  void changes(const std::string &Table, std::uint64_t After, runtime::duration LongPollTimeout,
               std::function<void(result<store_page>)> OnDone) override {
    auto WaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(LongPollTimeout).count();
    std::string Path = fmt::format("/yuccaplank/rows-feed?table={}&after={}&wait_ms={}",
                                   wire::percentEncode(Table), After, WaitMs);
    call("GET", Path, "", LongPollTimeout,
         [OnDone = std::move(OnDone)](const auto &Result) { OnDone(readPage(Result)); });
  }

  void put(const std::string &Table, const std::string &Key, const std::string &Value,
           std::function<void(result<std::uint64_t>)> OnDone) override {
    json Row = rowName(Table, Key);
    Row["value"] = encodeBase64(Value);
    sendTransaction(json::array(), json::array({Row}), json::array(), std::move(OnDone));
  }

  void replace(const std::string &Table, const std::string &Key, const std::string &Value,
               std::uint64_t Version, std::function<void(result<std::uint64_t>)> OnDone) override {
    json Row = rowName(Table, Key);
    Row["value"] = encodeBase64(Value);
    sendTransaction(json::array({expectedRow(Table, Key, Version)}), json::array({Row}), json::array(),
                    std::move(OnDone));
  }

  void remove(const std::string &Table, const std::string &Key, std::uint64_t Version,
              std::function<void(result<std::uint64_t>)> OnDone) override {
    sendTransaction(json::array({expectedRow(Table, Key, Version)}), json::array(),
                    json::array({rowName(Table, Key)}), std::move(OnDone));
  }

private:
  static json rowName(const std::string &Table, const std::string &Key) {
    return {{"table", Table}, {"part", ""}, {"key", Key}};
  }
  static json expectedRow(const std::string &Table, const std::string &Key, std::uint64_t Version) {
    json Row = rowName(Table, Key);
    Row["version_number"] = Version;
    return Row;
  }

  void sendTransaction(const json &Expected, const json &Puts, const json &Removed,
                       std::function<void(result<std::uint64_t>)> OnDone) {
    json Body{{"expected_revision", Expected}, {"puts", Puts}, {"remove", Removed}};
    call("POST", "/yuccaplank/rows-tx", Body.dump(), {},
         [OnDone = std::move(OnDone)](const auto &Result) { OnDone(readVersion(Result)); });
  }

  void call(const char *Method, std::string Path, std::string Body, runtime::duration LongPollTimeout,
            std::function<void(const wire::http_call_result &)> OnDone) {
    wire::http_call Call;
    Call.Method = Method;
    Call.Address = Options.Address;
    Call.Path = std::move(Path);
    Call.Headers = {{"content-type", "application/json"}};
    Call.Body = std::move(Body);
    Call.Timeout = LongPollTimeout + Options.ReplyTimeout;
    Client.call(std::move(Call), std::move(OnDone));
  }

  wire::http_client &Client;
  store_client_options Options;
};

} // namespace

std::unique_ptr<store_client> makeStoreClient(wire::http_client &Client, store_client_options Options) {
  return std::make_unique<store_client_impl>(Client, std::move(Options));
}

} // namespace yuccaplank::platform
