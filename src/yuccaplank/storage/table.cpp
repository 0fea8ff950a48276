#include "yuccaplank/storage/table.hpp"

#include "yuccaplank/storage/table_codec.hpp"
#include "yuccaplank/wire/settings_reader.hpp"
#include "yuccaplank/wire/url.hpp"

namespace yuccaplank::storage {
namespace {

using runtime::errc;
using wire::http_call_result;

constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;
constexpr int StatusConflict = 409;

// The '/' between the parts of a key stays readable.
std::string encodeKey(std::string_view Key) { return wire::percentEncode(Key, "/"); }

runtime::result<schema::vm_list> readVmList(std::string_view Text) {
  schema::vm_list List;
  if (!wire::readDocument(Text, List).empty())
    return errc::MalformedDocument;
  return List;
}

class table_impl final : public table {
public:
  table_impl(wire::http_client &Client, table_options Options)
      : Client(Client), Options(std::move(Options)) {}

  void commit(table_transaction Transaction,
              std::function<void(runtime::result<transaction_reply>)> OnDone) override {
    ++Totals.Writes;
    wire::http_call Call = makeCall("POST", "/v1/table/transaction");
    Call.Headers = {{"content-type", "application/json"}};
    Call.Body = writeTransaction(Transaction);
    send(std::move(Call), readTransactionReply, std::move(OnDone));
  }
  void read(std::string Key, std::function<void(runtime::result<table_row>)> OnDone) override {
    get("/v1/table/row?key=" + encodeKey(Key), readRow, std::move(OnDone));
  }
  void rows(std::string Prefix,
            std::function<void(runtime::result<std::vector<table_row>>)> OnDone) override {
    get("/v1/table/rows?prefix=" + encodeKey(Prefix), readRows, std::move(OnDone));
  }
  void changes(std::string Prefix, std::uint64_t After,
               std::function<void(runtime::result<table_changes>)> OnDone) override {
    get("/v1/table/changes?prefix=" + encodeKey(Prefix) + "&after=" + std::to_string(After), readChanges,
        std::move(OnDone));
  }
  void vms(std::function<void(runtime::result<schema::vm_list>)> OnDone) override {
    ++Totals.Reads;
    wire::http_call Call = makeCall("GET", "/v1/vms");
    if (!ListTag.empty())
      Call.Headers = {{"if-none-match", ListTag}};
    Client.call(std::move(Call), [this, OnDone = std::move(OnDone)](const http_call_result &Result) {
      OnDone(takeVmList(Result));
    });
  }
  [[nodiscard]] counters totals() const override { return Totals; }

private:
  [[nodiscard]] wire::http_call makeCall(std::string Method, std::string Path) const {
    wire::http_call Call;
    Call.Method = std::move(Method);
    Call.Address = Options.Address;
    Call.Path = std::move(Path);
    Call.Timeout = Options.Timeout;
    return Call;
  }

  // The list of 1,000 servers takes about 200 KB, so it is sent only when it has changed.
  runtime::result<schema::vm_list> takeVmList(const http_call_result &Result) {
    if (!Result.Error && Result.Status == StatusNotModified && !ListTag.empty())
      return VmList;
    if (Result.Error || Result.Status != StatusOk)
      return errc::PlatformUnavailable;
    auto List = readVmList(Result.Body);
    if (!List)
      return errc::PlatformUnavailable;
    ListTag = std::string(Result.header("etag"));
    VmList = List.value();
    return VmList;
  }

  template <typename T>
  void get(std::string Path, runtime::result<T> (*Read)(std::string_view),
           std::function<void(runtime::result<T>)> OnDone) {
    ++Totals.Reads;
    send(makeCall("GET", std::move(Path)), Read, std::move(OnDone));
  }

  // Any reply other than a well-formed one of the protocol leaves open what the platform did.
  template <typename T>
  void send(wire::http_call &&Call, runtime::result<T> (*Read)(std::string_view),
            std::function<void(runtime::result<T>)> OnDone) {
    Client.call(std::move(Call), [Read, OnDone = std::move(OnDone)](const http_call_result &Result) {
      bool Usable = !Result.Error && (Result.Status == StatusOk || Result.Status == StatusConflict);
      auto Value = Usable ? Read(Result.Body) : runtime::result<T>(errc::PlatformUnavailable);
      OnDone(Value ? std::move(Value) : runtime::result<T>(errc::PlatformUnavailable));
    });
  }

  wire::http_client &Client;
  table_options Options;
  counters Totals;
  schema::vm_list VmList;
  std::string ListTag;
};

} // namespace

std::unique_ptr<table> makeTable(wire::http_client &Client, table_options Options) {
  return std::make_unique<table_impl>(Client, std::move(Options));
}

} // namespace yuccaplank::storage
