// service apply, show, list, diff, history, rollback, validate.
#include "yuccaplank/cli/command.hpp"
#include "yuccaplank/cli/operator_client.hpp"
#include "yuccaplank/cli/output.hpp"
#include "yuccaplank/cli/service_change.hpp"
#include "yuccaplank/wire/service_codec.hpp"
#include "yuccaplank/wire/url.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace yuccaplank::cli {
namespace {

using nlohmann::ordered_json;

std::string servicePath(const std::string &Name) { return "/v1/services/" + wire::percentEncode(Name); }

void printJson(const command_context &Context, const ordered_json &Value) {
  Context.Console.Out(Value.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n");
}

ordered_json issuesJson(const std::vector<wire::document_issue> &Issues) {
  auto List = ordered_json::array();
  for (const wire::document_issue &Issue : Issues)
    List.push_back({{"reason", errcName(Issue.Code)},
                    {"path", Issue.Path},
                    {"line", Issue.Line},
                    {"expected", Issue.Expected}});
  return List;
}

// Reads and checks the document of the argument FILE; errors have been reported when nothing is returned.
std::optional<schema::service_document> readFileArgument(const command_context &Context) {
  std::string File = Context.Invocation.text("FILE");
  auto Text = Context.Console.ReadFile(File);
  if (!Text) {
    Context.Console.error(fmt::format("cannot read {}.", File));
    return std::nullopt;
  }
  schema::service_document Document;
  auto Issues = wire::readService(Text.value(), Document);
  if (Issues.empty())
    return Document;
  if (Context.Invocation.Global.Json)
    printJson(Context, {{"valid", false}, {"issues", issuesJson(Issues)}});
  Context.Console.error(fmt::format("{} is not a valid service document.", File));
  Context.Console.Err(wire::formatIssues(Issues));
  return std::nullopt;
}

// The current revision; revision 0 when the service does not exist yet.
std::optional<schema::service_revision> currentRevision(command_context &Context, const std::string &Name) {
  fetched Reply = fetch(Context, servicePath(Name), true);
  if (!Reply.ok())
    return std::nullopt;
  if (Reply.Status == 404)
    return schema::service_revision();
  auto Revision = readRevision(Reply.Body);
  if (!Revision)
    Context.Console.error("the reply is not a service revision.");
  return Revision;
}

void printDifferences(const command_context &Context, const schema::service_revision &Current,
                      const std::vector<wire::document_difference> &Differences) {
  if (Context.Invocation.Global.Json)
    return;
  std::string Against =
      Current.revision() == 0 ? "a new service" : fmt::format("revision {}", Current.revision());
  Context.Console.Out(fmt::format("Changes against {}:\n{}", Against,
                                  Differences.empty() ? "none\n" : formatDifferences(Differences)));
}

exit_status reportConflict(const command_context &Context, const schema::service_document &Document,
                           const ordered_json &Body) {
  auto Current = Body.contains("current") ? readRevision(Body["current"]) : std::nullopt;
  if (!Current) {
    Context.Console.error("conflict: revision_conflict.");
    return exit_status::Conflict;
  }
  auto Differences = wire::diffServices(Current->document(), Document);
  if (Context.Invocation.Global.Json)
    printJson(Context, {{"committed", false},
                        {"reason", errcName(runtime::errc::RevisionConflict)},
                        {"current", Body["current"]},
                        {"changes", differencesJson(Differences)}});
  Context.Console.error(fmt::format("conflict: revision_conflict; revision {} of change {} is current.",
                                    Current->revision(), Current->change_id()));
  Context.Console.Err("Your document against it:\n" + formatDifferences(Differences));
  return exit_status::Conflict;
}

exit_status reportNotCommitted(const command_context &Context, const change_plan &Plan,
                               const change_result &Change) {
  std::string Reason = Change.Error ? Change.Error.message() : reasonOf(Change.Body, Change.Status);
  if (Context.Invocation.Global.Json)
    printJson(Context,
              {{"committed", false},
               {"open", Change.End == change_end::Open},
               {"reason", Reason},
               {"change_id", Plan.ChangeId},
               {"issues", Change.Body.is_object() ? arrayOf(Change.Body, "issues") : ordered_json::array()}});
  if (Change.End == change_end::Open) {
    Context.Console.error(fmt::format("the change may have been committed: {}; repeat it with '--change {}'.",
                                      Reason, Plan.ChangeId));
    return exit_status::Unknown;
  }
  Context.Console.error(fmt::format("the change was not committed: {}.", Reason));
  if (Change.Body.is_object())
    for (const ordered_json &Issue : arrayOf(Change.Body, "issues"))
      Context.Console.Err(fmt::format("line {}: {}: {}, expected {}\n", cell(Issue, "line"),
                                      cell(Issue, "path"), cell(Issue, "reason"), cell(Issue, "expected")));
  return Change.End == change_end::Refused ? exit_status::Refused : exit_status::OtherError;
}

exit_status reportCommitted(command_context &Context, const std::string &Service,
                            const schema::service_revision &Committed,
                            const std::vector<wire::document_difference> &Differences) {
  ordered_json Report = {{"committed", true},
                         {"service", Service},
                         {"revision", Committed.revision()},
                         {"change_id", Committed.change_id()},
                         {"changes", differencesJson(Differences)}};
  bool Json = Context.Invocation.Global.Json;
  if (!Json)
    Context.Console.Out(fmt::format("{} has revision {}\n", Service, Committed.revision()));
  rollout Rollout;
  bool Wait = Context.Invocation.flag("wait");
  if (Wait) {
    operator_session Session = makeOperatorSession(Context);
    Rollout = awaitRollout(Session, Service, Committed.revision(), Context.Invocation.Global.Timeout,
                           [&](std::string_view Message) { Context.Console.progress(Message); });
    Report["reached"] = Rollout.Reached;
    Report["not_reached"] = Rollout.NotReached;
  }
  if (Json)
    printJson(Context, Report);
  bool Everywhere = !Wait || (Rollout.NotReached.empty() && !Rollout.Reached.empty());
  if (Wait && Everywhere && !Json)
    Context.Console.Out(fmt::format("in force on {} VMs\n", Rollout.Reached.size()));
  if (!Everywhere)
    Context.Console.error(
        fmt::format("revision {} is committed, but did not reach: {}.", Committed.revision(),
                    Rollout.NotReached.empty() ? "any VM known"
                                               : fmt::format("{}", fmt::join(Rollout.NotReached, ", "))));
  return Everywhere ? exit_status::Done : exit_status::OtherError;
}

bool confirmed(const command_context &Context) {
  return Context.Invocation.flag("yes") || Context.Console.Confirm("Apply? [y/N] ");
}

exit_status commitDocument(command_context &Context, const schema::service_document &Document,
                           const schema::service_revision &Current,
                           const std::vector<wire::document_difference> &Differences) {
  change_plan Plan;
  Plan.Service = Document.service();
  Plan.Document = wire::writeService(Document);
  Plan.ExpectedRevision = Current.revision();
  Plan.ChangeId = Context.Invocation.text("change");
  if (Plan.ChangeId.empty())
    Plan.ChangeId = Context.MakeChangeId();
  Plan.Timeout = Context.Invocation.Global.Timeout;
  operator_session Session = makeOperatorSession(Context);
  change_result Change =
      commitChange(Session, Plan, [&](std::string_view Message) { Context.Console.progress(Message); });
  if (Change.End == change_end::Conflict)
    return reportConflict(Context, Document, Change.Body);
  auto Committed = Change.End == change_end::Committed ? readRevision(Change.Body) : std::nullopt;
  if (!Committed)
    return reportNotCommitted(Context, Plan, Change);
  return reportCommitted(Context, Plan.Service, *Committed, Differences);
}

// Shows the changes and commits them unless the operator declines.
exit_status applyDocument(command_context &Context, const schema::service_document &Document,
                          const schema::service_revision &Current) {
  const invocation &Invocation = Context.Invocation;
  auto Differences = wire::diffServices(Current.document(), Document);
  std::string Change = Invocation.text("change");
  if (!Change.empty() && Change == Current.change_id())
    return reportCommitted(Context, Document.service(), Current, {});
  printDifferences(Context, Current, Differences);
  bool DryRun = Invocation.flag("dry-run");
  if (DryRun || (Differences.empty() && Current.revision() > 0)) {
    if (Invocation.Global.Json)
      printJson(Context, {{"committed", false},
                          {"service", Document.service()},
                          {"revision", Current.revision()},
                          {"changes", differencesJson(Differences)}});
    return exit_status::Done;
  }
  if (!Invocation.flag("yes") && !Context.Console.InputIsTerminal) {
    Context.Console.error("standard input is not a terminal; use --yes to apply without a question.");
    return exit_status::Usage;
  }
  if (!confirmed(Context)) {
    Context.Console.error("nothing was changed.");
    return exit_status::OtherError;
  }
  return commitDocument(Context, Document, Current, Differences);
}

void listRevisions(const command_context &Context, const ordered_json &Revisions) {
  std::vector<std::vector<std::string>> Rows{{"SERVICE", "REVISION", "COMMITTED", "TEAM", "POOL", "CHANGE"}};
  for (const ordered_json &Entry : Revisions)
    if (auto Revision = readRevision(Entry))
      Rows.push_back({Revision->document().service(), fmt::format("{}", Revision->revision()),
                      formatTime(Revision->committed_ms()), Revision->document().team(),
                      Revision->document().pool(), Revision->change_id()});
  Context.Console.Out(formatTable(Rows));
}

// Prints the revisions in the field Key of the reply at Path.
exit_status printRevisions(command_context &Context, const std::string &Path, const char *Key) {
  fetched Reply = fetch(Context, Path);
  if (!Reply.ok())
    return Reply.Exit;
  if (Context.Invocation.Global.Json)
    printJson(Context, Reply.Body);
  else
    listRevisions(Context, arrayOf(Reply.Body, Key));
  return exit_status::Done;
}

} // namespace

exit_status runServiceApply(command_context &Context) {
  auto Document = readFileArgument(Context);
  if (!Document)
    return exit_status::OtherError;
  auto Current = currentRevision(Context, Document->service());
  return Current ? applyDocument(Context, *Document, *Current) : exit_status::OtherError;
}

exit_status runServiceShow(command_context &Context) {
  fetched Reply = fetch(Context, servicePath(Context.Invocation.text("NAME")));
  if (!Reply.ok())
    return Reply.Exit;
  auto Revision = readRevision(Reply.Body);
  if (Context.Invocation.Global.Json || !Revision) {
    printJson(Context, Reply.Body);
    return Revision ? exit_status::Done : exit_status::OtherError;
  }
  Context.Console.Out(fmt::format("// revision {}, committed {}, change {}\n{}", Revision->revision(),
                                  formatTime(Revision->committed_ms()), Revision->change_id(),
                                  wire::writeService(Revision->document())));
  return exit_status::Done;
}

exit_status runServiceList(command_context &Context) {
  return printRevisions(Context, "/v1/services", "services");
}

exit_status runServiceDiff(command_context &Context) {
  auto Document = readFileArgument(Context);
  if (!Document)
    return exit_status::OtherError;
  auto Current = currentRevision(Context, Document->service());
  if (!Current)
    return exit_status::OtherError;
  auto Differences = wire::diffServices(Current->document(), *Document);
  printDifferences(Context, *Current, Differences);
  if (Context.Invocation.Global.Json)
    printJson(Context, {{"service", Document->service()},
                        {"revision", Current->revision()},
                        {"changes", differencesJson(Differences)}});
  return exit_status::Done;
}

exit_status runServiceHistory(command_context &Context) {
  return printRevisions(Context, servicePath(Context.Invocation.text("NAME")) + "/history", "revisions");
}

exit_status runServiceRollback(command_context &Context) {
  std::string Name = Context.Invocation.text("NAME");
  fetched Reply = fetch(Context, servicePath(Name) + "/history");
  if (!Reply.ok())
    return Reply.Exit;
  for (const ordered_json &Entry : arrayOf(Reply.Body, "revisions")) {
    auto Revision = readRevision(Entry);
    if (!Revision || fmt::format("{}", Revision->revision()) != Context.Invocation.text("REVISION"))
      continue;
    auto Current = currentRevision(Context, Name);
    return Current ? applyDocument(Context, Revision->document(), *Current) : exit_status::OtherError;
  }
  Context.Console.error(
      fmt::format("service {} has no revision {}: not_found.", Name, Context.Invocation.text("REVISION")));
  return exit_status::OtherError;
}

exit_status runServiceValidate(command_context &Context) {
  if (!readFileArgument(Context))
    return exit_status::OtherError;
  if (Context.Invocation.Global.Json)
    printJson(Context, {{"valid", true}, {"issues", ordered_json::array()}});
  else
    Context.Console.Out("valid\n");
  return exit_status::Done;
}

} // namespace yuccaplank::cli
