#include "operator_api.hpp"
#include "yuccaplank/wire/document_writer.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace yuccaplank::entry {
namespace {

using wire::http_reply;
using wire::http_request;

class operator_api_impl final : public operator_api {
public:
  operator_api_impl(const runtime::clock &Clock, const dispatch::entry_vm &Vm, operator_api_options Options)
      : Vm(Vm), Options(std::move(Options)), Burn(makeBurnRecorder(Clock)) {}

  // Cancelled jobs are left out of the burn rate: their callers left or cancelled, so they do not show
  // whether the objective was met.
  void observeAnswer(const dispatch::job_answer &Answer, runtime::duration Latency) override {
    Metrics->observeAnswer(Answer.Outcome, Latency);
    if (Answer.Outcome != dispatch::job_outcome::Cancelled)
      Burn->record(Answer.Queue, Answer.WithinObjective);
  }

  void serve(const http_request &Request, const process_counts &Counts,
             std::function<void(http_reply)> OnReply) override {
    if (Request.Path.starts_with(EvacuationPath))
      serveEvacuation(Request, std::move(OnReply));
    else
      OnReply(makeReport(Request, Counts));
  }

private:
  static constexpr std::string_view EvacuationPath = "/v1/evacuations/";

  http_reply makeReport(const http_request &Request, const process_counts &Counts) {
    struct route {
      std::string_view Path;
      http_reply (operator_api_impl::*Handler)(const process_counts &Counts);
    };
    static constexpr auto Routes = std::to_array<route>({
        {"/metrics", &operator_api_impl::metrics},
        {"/v1/fleet", &operator_api_impl::fleet},
        {"/v1/burn", &operator_api_impl::burn},
    });
    for (const route &Route : Routes)
      if (Route.Path == Request.Path)
        return Request.Method == "GET" ? (this->*Route.Handler)(Counts) : makeEmptyReply(405);
    return makeEmptyReply(404);
  }

  void serveEvacuation(const http_request &Request, std::function<void(http_reply)> OnReply) const {
    bool Begins = Request.Method == "PUT";
    if (!Begins && Request.Method != "DELETE") {
      OnReply(makeEmptyReply(405));
      return;
    }
    auto OnDone = [OnReply = std::move(OnReply)](std::error_code Error) {
      http_reply Reply = makeEmptyReply(toStatus(Error));
      if (Error)
        Reply.Body = nlohmann::json{{"error", Error.message()}}.dump();
      OnReply(std::move(Reply));
    };
    Options.SetEvacuation(Request.Path.substr(EvacuationPath.size()), Begins, std::move(OnDone));
  }

  static int toStatus(std::error_code Error) {
    if (!Error)
      return 200;
    if (Error == runtime::errc::UnknownDomain)
      return 404;
    return Error == runtime::errc::PlatformUnavailable ? 503 : 409;
  }

  static http_reply makeEmptyReply(int Status) {
    http_reply Reply;
    Reply.Status = Status;
    Reply.Body = "{}";
    return Reply;
  }
  static http_reply makeDocumentReply(const google::protobuf::Message &Message) {
    http_reply Reply;
    Reply.Body = wire::writeDocument(Message);
    return Reply;
  }

  http_reply metrics(const process_counts &Counts) {
    http_reply Reply;
    Reply.ContentType = "text/plain; version=0.0.4";
    Reply.Body = Metrics->serialize(Vm.state(), Counts);
    return Reply;
  }
  http_reply fleet(const process_counts & /*Counts*/) { return makeDocumentReply(Vm.report()); }
  http_reply burn(const process_counts & /*Counts*/) {
    schema::burn_counts Counts;
    Counts.set_vm(Options.Vm);
    Counts.set_objective_percent(Options.ObjectivePercent);
    for (const schema::burn_queue &Queue : Burn->windows())
      *Counts.add_queues() = Queue;
    return makeDocumentReply(Counts);
  }

  const dispatch::entry_vm &Vm;
  operator_api_options Options;
  std::unique_ptr<vm_metrics> Metrics = makeVmMetrics();
  std::unique_ptr<burn_recorder> Burn;
};

} // namespace

std::unique_ptr<operator_api> makeOperatorApi(const runtime::clock &Clock, const dispatch::entry_vm &Vm,
                                              operator_api_options Options) {
  return std::make_unique<operator_api_impl>(Clock, Vm, std::move(Options));
}

} // namespace yuccaplank::entry
