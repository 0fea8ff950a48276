#include "operator_api.hpp"
#include "vm_metrics.hpp"
#include "yuccaplank/wire/document_writer.hpp"

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

  http_reply reply(const http_request &Request, std::size_t PendingCallers) override {
    struct route {
      std::string_view Path;
      http_reply (operator_api_impl::*Handler)(std::size_t PendingCallers);
    };
    static constexpr auto Routes = std::to_array<route>({
        {"/metrics", &operator_api_impl::metrics},
        {"/v1/fleet", &operator_api_impl::fleet},
        {"/v1/burn", &operator_api_impl::burn},
    });
    for (const route &Route : Routes)
      if (Route.Path == Request.Path)
        return Request.Method == "GET" ? (this->*Route.Handler)(PendingCallers) : makeErrorReply(405);
    return makeErrorReply(404);
  }

private:
  static http_reply makeErrorReply(int Status) {
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

  http_reply metrics(std::size_t PendingCallers) {
    http_reply Reply;
    Reply.ContentType = "text/plain; version=0.0.4";
    Reply.Body = Metrics->serialize(Vm.state(), PendingCallers);
    return Reply;
  }
  http_reply fleet(std::size_t /*PendingCallers*/) { return makeDocumentReply(Vm.report()); }
  http_reply burn(std::size_t /*PendingCallers*/) {
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
