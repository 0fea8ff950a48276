#include "message_router.hpp"
#include "relay_messages.hpp"
#include "yuccaplank/runtime/log.hpp"

#include <utility>

namespace yuccaplank::dispatch {
namespace {

using runtime::log;
using runtime::log_level;

constexpr std::size_t BusyQueueThreshold = 100;
constexpr auto BusyScheduleDelay = std::chrono::milliseconds(2);

// Lowest version of a VM that may be told of the job.
protocol_version versionNeededBy(job_id Job) {
  return Job.hasCapitals() ? protocol_version::CapitalIds : protocol_version::Initial;
}

} // namespace

void message_router::handle(const std::string &From, const schema::dispatch_message &Message) {
  // A late message must not be handled as if its sender still had contact with this VM.
  Sessions.endExpiredContacts();
  switch (Message.body_case()) {
  case schema::dispatch_message::kStatus:
    onStatus(Message.status());
    break;
  case schema::dispatch_message::kPlace:
    Roles.setPlacing(true);
    Vm.Queue->enqueue(From, Message.place());
    scheduleSoon();
    break;
  case schema::dispatch_message::kWithdraw:
    Vm.Queue->withdraw(From, Message.withdraw());
    break;
  case schema::dispatch_message::kDecline:
    Vm.Queue->decline(From, Message.decline());
    scheduleSoon();
    break;
  case schema::dispatch_message::kServer:
    // Messages that a VM sent before contact ended must not bring back its servers.
    if (Vm.View->inContact(From))
      Vm.Queue->updateServer(From, Message.server());
    scheduleSoon();
    break;
  case schema::dispatch_message::kGrant:
    Vm.Jobs->onGrant(From, Message.grant());
    break;
  case schema::dispatch_message::kReject:
    Vm.Jobs->onReject(Message.reject());
    break;
  case schema::dispatch_message::kEvent:
    Vm.Jobs->onEvent(From, Message.event());
    break;
  case schema::dispatch_message::kYield:
    Vm.Jobs->onYield(From, Message.yield());
    break;
  case schema::dispatch_message::kAdopt:
    if (From != Vm.Options.Vm)
      Vm.Owner->onClaimedElsewhere(From, Message.adopt().server(), Message.adopt().token());
    Vm.Jobs->onAdopt(From, Message.adopt());
    break;
  case schema::dispatch_message::kStart:
    Vm.Owner->onStart(From, Message.start());
    break;
  case schema::dispatch_message::kStop:
    Vm.Owner->onStop(From, Message.stop());
    break;
  case schema::dispatch_message::kSubscribe:
    Vm.Owner->onSubscribe(From, Message.subscribe());
    break;
  case schema::dispatch_message::kAdopted:
    Vm.Owner->onAdopted(From, Message.adopted());
    break;
  case schema::dispatch_message::kResume:
    Sessions.onResume(From, Message.resume());
    break;
  case schema::dispatch_message::kCancel:
    onCancel(From, Message.cancel());
    break;
  case schema::dispatch_message::kCancelled:
    Vm.Cancels.onReply(From, Message.cancelled());
    break;
  case schema::dispatch_message::kConfiguration:
    Configurations.onCopy(Message.configuration());
    break;
  case schema::dispatch_message::kOwned:
    for (const schema::owned_server &Owned : Message.owned().servers())
      Vm.Owner->onClaimedElsewhere(From, Owned.server(), Owned.token());
    break;
  case schema::dispatch_message::kRelay:
    onRelay(From, Message.relay());
    break;
  case schema::dispatch_message::kRelayed:
    Vm.Relay->onAnswer(From, Message.relayed());
    break;
  case schema::dispatch_message::kWithdrawRelayed:
    Vm.Waiters.onWithdrawRelayed(From, Message.withdraw_relayed());
    break;
  case schema::dispatch_message::kLostServers:
    Vm.Losses.record(Message.lost_servers());
    Vm.Jobs->onLossesChanged();
    break;
  case schema::dispatch_message::kServerEntriesRequest:
    ServerEntries.onRequest(From, Message.server_entries_request());
    break;
  case schema::dispatch_message::kServerEntries:
    ServerEntries.onChanges(From, Message.server_entries());
    break;
  case schema::dispatch_message::BODY_NOT_SET:
    break;
  }
}

void message_router::onStatus(const schema::vm_status &Status) {
  Configurations.learnEvacuations(Status);
  learnBacklogs(Status);
  std::vector<view_change> Changes = Vm.View->onStatus(Status);
  // The reply precedes the messages that the start of contact causes, because the other VM accepts these
  // only when it is in contact.
  if (Status.vm() != Vm.Options.Vm)
    Vm.Contacts.answerGreeting(Status, !Changes.empty());
  Sessions.applyChanges(Changes);
  // A VM that has just come into contact may know newer entries, before anything is started.
  if (!Changes.empty())
    ServerEntries.update();
  Vm.Contacts.addPeers(Status);
  Configurations.offer(Status);
  if (Roles.isOutOfDate())
    Roles.updatePlacerAndOwnership();
}

// Only the placer's word and, on a relaying VM, that of a dispatching one counts: backlogs that went round
// would seem newer with each hop.
void message_router::learnBacklogs(const schema::vm_status &Status) {
  bool FromPlacer = Status.vm() == Roles.placer();
  bool FromDispatcher = Vm.Contacts.isRelay() && Status.role() == schema::VM_DISPATCHES;
  if (!Roles.placing() && (FromPlacer || FromDispatcher) && Vm.View->inContact(Status.vm()))
    Vm.Backlogs.learn(Vm.Executor.clock().now(), Status.backlogs());
}

bool message_router::understoodByAll(job_id Job) const {
  return !Job.hasCapitals() || Vm.Contacts.isUnderstoodByAll(protocol_version::CapitalIds);
}

void message_router::refuseRelayed(const std::string &From, const schema::relay_job &Job) const {
  job_answer Answer;
  Answer.Outcome = job_outcome::Refused;
  Answer.Reason = end_reason::Upgrade;
  Answer.RetryAfterMs = static_cast<std::uint32_t>(runtime::toMs(UpgradeRetryAfter));
  log(log_level::Info, "relayed_job_refused",
      {{"job", formatJob(jobOf(Job))}, {"vm", From}, {"reason", std::string(endReasonName(Answer.Reason))}});
  Vm.Send(From, makeRelayedAnswer(jobOf(Job), Job.session(), Answer));
}

void message_router::onRelay(const std::string &From, const schema::relay_job &Job) {
  // A VM that lost contact assumes that this VM has given up its relayed jobs.
  if (Vm.View->inContact(From)) {
    if (understoodByAll(jobOf(Job)) || Vm.Jobs->contains(jobOf(Job)))
      Vm.Waiters.onRelayJob(From, Job);
    else
      refuseRelayed(From, Job);
    return;
  }
  ++DeclinedJobs;
  log(log_level::Info, "relayed_job_declined",
      {{"job", formatJob(jobOf(Job))}, {"vm", From}, {"reason", std::string("not_in_contact")}});
  auto Found = Vm.View->others().find(From);
  if (Found != Vm.View->others().end())
    Vm.Ports.send(From, Found->second.Address, makeNotTakenAnswer(Job));
}

void message_router::cancel(job_id Job, std::function<void(bool)> OnDone) {
  if (Vm.Relay->cancel(Job, end_reason::Cancelled) || Vm.Jobs->cancel(Job, end_reason::Cancelled)) {
    OnDone(true);
    return;
  }
  if (!Vm.Contacts.isRelay()) {
    // A VM that does not understand the id cannot have the job, and would cancel another one.
    Vm.Cancels.sendCancel(Job, Vm.Contacts.coordinatingVms(versionNeededBy(Job)), Vm.Options.CancelTimeout,
                          std::move(OnDone));
    return;
  }
  // The dispatching VM forwards the request to the others.
  std::string Dispatcher = Vm.View->dispatcherFor(Job, Vm.Options.Domain);
  std::vector<std::string> Recipients = Vm.Contacts.coordinatingVms(versionNeededBy(Job));
  std::erase_if(Recipients, [&](const std::string &Recipient) { return Recipient != Dispatcher; });
  Vm.Cancels.sendCancel(Job, Recipients, 2 * Vm.Options.CancelTimeout, std::move(OnDone));
}

void message_router::onCancel(const std::string &From, const schema::cancel_submitted &Request) {
  auto Reply = [this, From, Exchange = Request.exchange()](bool Found) {
    schema::dispatch_message Message;
    Message.mutable_cancelled()->set_exchange(Exchange);
    Message.mutable_cancelled()->set_found(Found);
    Vm.Send(From, std::move(Message));
  };
  bool Found = Vm.Jobs->cancel(jobOf(Request), end_reason::Cancelled);
  auto Requester = Vm.View->others().find(From);
  bool FromRelay =
      Requester != Vm.View->others().end() && Requester->second.Status.role() == schema::VM_RELAYS;
  if (Found || !FromRelay)
    Reply(Found);
  else
    Vm.Cancels.sendCancel(jobOf(Request), Vm.Contacts.coordinatingVms(versionNeededBy(jobOf(Request))),
                          Vm.Options.CancelTimeout, Reply);
}

// With many waiting jobs, scheduling after every message would be too expensive.
void message_router::scheduleSoon() {
  if (std::exchange(SchedulePosted, true))
    return;
  auto Schedule = Lifetime.guard([this] {
    SchedulePosted = false;
    Vm.Queue->schedule();
  });
  if (Vm.Queue->waitingJobs() > BusyQueueThreshold)
    Vm.Executor.after(BusyScheduleDelay, Schedule);
  else
    Vm.Executor.post(Schedule);
}

} // namespace yuccaplank::dispatch
