#include "yuccaplank/load/load_run.hpp"

#include <nlohmann/json.hpp>

#include <memory>

namespace yuccaplank::load {
namespace {

// Queries in flight at once.
constexpr std::size_t MaxQueries = 16;
constexpr runtime::duration QueryTimeout = std::chrono::seconds(30);
constexpr int BreachStatus = 3;
constexpr int IncompleteStatus = 1;

// Asks for double starts, then for the started tasks of each refused job.
class final_checks : public std::enable_shared_from_this<final_checks> {
public:
  final_checks(wire::http_client &Client, std::string Control, load_result &Result,
               std::function<void()> OnDone)
      : Client(Client), Control(std::move(Control)), Result(Result), OnDone(std::move(OnDone)),
        Refused(Result.Ledger.refusedOnly()) {}

  void start() {
    query("/summary", [this](const nlohmann::json &Summary) {
      auto Breaches = checkSummary(Summary);
      if (!Breaches) {
        ++Result.CheckErrors;
        return;
      }
      for (const breach &Breach : *Breaches)
        Result.Measurements.addBreach(Breach);
    });
    askNext();
  }

private:
  void askNext() {
    while (Open < MaxQueries && Next < Refused.size()) {
      std::string Id = Refused[Next++];
      query("/tasks/" + Id, [this, Id](const nlohmann::json &Tasks) {
        refused_check Check = checkRefused(Id, Tasks);
        if (!Check.Valid)
          ++Result.CheckErrors;
        if (Check.Breach)
          Result.Measurements.addBreach(*Check.Breach);
      });
    }
  }

  void query(const std::string &Path, std::function<void(const nlohmann::json &)> OnReply) {
    ++Open;
    wire::http_call Call;
    Call.Address = Control;
    Call.Path = Path;
    Call.Timeout = QueryTimeout;
    auto Self = shared_from_this();
    Client.call(std::move(Call), [Self, OnReply = std::move(OnReply)](const wire::http_call_result &Reply) {
      bool Valid = !Reply.Error && Reply.Status == 200;
      OnReply(Valid ? nlohmann::json::parse(Reply.Body, nullptr, false) : nlohmann::json());
      --Self->Open;
      Self->askNext();
      if (Self->Open == 0)
        Self->OnDone();
    });
  }

  wire::http_client &Client;
  std::string Control;
  load_result &Result;
  std::function<void()> OnDone;
  std::vector<std::string> Refused;
  std::size_t Next = 0;
  std::size_t Open = 0;
};

} // namespace

void runFinalChecks(wire::http_client &Client, const std::string &Control, load_result &Result,
                    std::function<void()> OnDone) {
  std::make_shared<final_checks>(Client, Control, Result, std::move(OnDone))->start();
}

int exitStatusOf(const load_result &Result) {
  if (Result.Measurements.breached())
    return BreachStatus;
  // A run without submissions has checked nothing.
  bool Complete = Result.CheckErrors == 0 && Result.Measurements.Counts.Submissions > 0;
  return Complete ? 0 : IncompleteStatus;
}

} // namespace yuccaplank::load
