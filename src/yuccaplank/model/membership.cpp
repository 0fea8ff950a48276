#include "yuccaplank/model/membership.hpp"
#include "dispatcher_map.hpp"
#include "summary_store.hpp"
#include "yuccaplank/model/job_id.hpp"
#include "yuccaplank/runtime/random.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace yuccaplank::model {
namespace {

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

// A heartbeat that arrives is passed on at once unless the last one was sent less than this part of a period
// ago, so that news travels round the ring in one pass. The VM with the least id sets the pace, the others
// send on their own only after a slightly longer time.
constexpr double RelayFraction = 0.8;
constexpr double FollowerFraction = 1.06;
// A silent VM is probed this long before it is announced as suspected, so that VMs that merely disagree on
// the ring cause no announcement.
constexpr duration AnnounceDelay = 100ms;
// All VMs that notice a closed stream announce it; they spread over this time and the first silences the
// others.
constexpr duration AnnounceSpread = 200ms;
// A probe that could not be delivered is repeated after this time.
constexpr duration ProbeRetryDelay = 100ms;
// VMs heard within this time are not probed when all are. It must be shorter than the time from a failure to
// its first suspicion.
constexpr duration RecentlyHeard = 400ms;
constexpr duration MinCheckAllInterval = 500ms;
constexpr duration MinHintedProbeInterval = 1s;
// Delay between the first contacts of a VM that knows nobody.
constexpr duration JoinStep = 300ms;
// A wake-up later than this means that the own process did not run.
constexpr duration MaxLateness = 100ms;
constexpr duration ForgetUnlisted = 60s;
constexpr int RotatingEntries = 3;
constexpr int MaxChangedEntries = 16;
// Heartbeats that repeat a change, in case one is lost with a stream.
constexpr int ChangeRepeats = 2;
constexpr std::size_t MaxPastIncarnations = 8;

duration part(duration Whole, double Fraction) {
  return std::chrono::duration_cast<duration>(Whole * Fraction);
}

// A VM that is not known to have been silent before its probe gets this multiple of the probe's time, so that
// a pause that coincides with a probe is not taken for a failure.
constexpr int PatientFactor = 2;
// Connects that fail within the probe's time mean that no process listens; a paused one still accepts them.
constexpr int RefusedConnects = 3;

struct probe_state {
  time_point Start;
  // The VM has been silent towards its successor on the ring.
  bool Silent = false;
  int FailedConnects = 0;
  time_point RetryAt = time_point::max();
  time_point AnnounceAt = time_point::max();
  // State under which the VM is announced.
  schema::vm_state Announcement = schema::VM_UNREACHABLE;
};

struct member {
  // The state is what the VM says of itself, VM_UNKNOWN before its incarnation is known.
  schema::vm_entry Entry;
  bool Reachable = false;
  bool Listed = false;
  // Last direct evidence, or the time at which the incarnation became known.
  time_point LastHeard;
  time_point UnreachableSince;
  std::optional<time_point> LastProbe;
  std::optional<time_point> LastAnnouncement;
  // Next probe while not reachable.
  time_point NextProbe = time_point::max();
  std::optional<probe_state> Probe;
  int Repeats = 0;
  std::vector<schema::incarnation> Past;

  [[nodiscard]] bool known() const { return Entry.state() != schema::VM_UNKNOWN; }
  [[nodiscard]] bool draining() const { return Entry.state() == schema::VM_DRAINING; }
  [[nodiscard]] const schema::incarnation &incarnation() const { return Entry.self(); }
};

class membership_impl final : public membership {
public:
  membership_impl(const runtime::clock &Clock, membership_options InitialOptions)
      : Clock(Clock), Options(std::move(InitialOptions)), Random(Options.Seed),
        Dispatchers(Options.Domain, Options.DispatchGroup) {
    *SelfEntry.mutable_self() = Options.Self;
    SelfEntry.set_domain(Options.Domain);
    SelfEntry.set_peer_address(Options.PeerAddress);
    SelfEntry.set_state(schema::VM_LIVE);
    LastHeartbeat = now() - Options.HeartbeatPeriod;
    ExpectedWakeup = now();
  }

  void applyVmList(const schema::vm_list &List) override {
    std::set<std::string> Listed;
    for (const schema::entry_vm &Entry : List.entry_vms())
      if (Entry.id() != Options.Self.vm())
        Listed.insert(Entry.id());
    for (auto &[Vm, Member] : Members)
      Member.Listed = Listed.contains(Vm);
    noteChange();
    std::erase_if(Members, [](const auto &Item) { return !Item.second.known() && !Item.second.Listed; });
    bool Alone = aliveCount() == 0;
    for (const schema::entry_vm &Entry : List.entry_vms())
      applyListed(Entry);
    if (Alone)
      planJoin();
  }

  void messageFrom(const schema::incarnation &From, const std::string &Domain) override {
    if (From.vm() == Options.Self.vm() || From.vm().empty())
      return;
    member &Member = memberOf(From.vm());
    if (!Member.known() || !sameIncarnation(Member.incarnation(), From)) {
      // Late messages of an earlier incarnation are no evidence, unless the later one is gone.
      bool Stale = Member.known() && Member.Reachable && olderIncarnation(From, Member.incarnation());
      if (Stale)
        return;
      adopt(Member, From, Domain, schema::VM_LIVE);
    }
    Member.LastHeard = now();
    if (Member.Probe) {
      Member.Probe.reset();
      Changed = true;
    }
    markReachable(Member);
  }

  void onHeartbeat(const schema::incarnation &From, const schema::heartbeat &Message) override {
    member *Sender = findCurrent(From);
    if (Sender == nullptr)
      return;
    bool Joining = aliveCount() == 1;
    for (const schema::vm_entry &Entry : Message.vms())
      applyGossip(From, Entry);
    // What a joining VM is told is news to nobody else.
    if (Joining)
      for (auto &[Vm, Member] : Members)
        Member.Repeats = 0;
    for (const schema::domain_summary &Summary : Message.domains())
      applySummary(Summary);
    bool KnowsNobody = Message.vms_size() == 1 && sameIncarnation(Message.vms(0).self(), From);
    if (KnowsNobody)
      sendEverything(*Sender);
    member *Predecessor = predecessor();
    if (Predecessor == Sender && now() - LastHeartbeat >= part(Options.HeartbeatPeriod, RelayFraction))
      sendHeartbeat();
  }

  void onProbe(const schema::incarnation &From, const schema::probe &Message) override {
    member *Sender = findCurrent(From);
    if (Sender == nullptr)
      return;
    schema::envelope Reply;
    Reply.mutable_probe_ack()->set_sequence(Message.sequence());
    Reply.mutable_probe_ack()->set_state(SelfEntry.state());
    send(*Sender, std::move(Reply));
  }

  void onProbeAck(const schema::incarnation &From, const schema::probe_ack &Message) override {
    if (Message.state() == schema::VM_DRAINING)
      onDraining(From);
  }

  void onDraining(const schema::incarnation &From) override {
    if (member *Sender = findCurrent(From))
      markDraining(*Sender);
  }

  void onStreamClosed(const schema::incarnation &Peer) override {
    member *Member = findCurrent(Peer);
    if (Member != nullptr && Member->Reachable)
      suspect(*Member, announcementDelay());
  }

  void onConnectFailed(const std::string &Address) override {
    for (auto &[Vm, Member] : Members) {
      if (Member.Entry.peer_address() != Address)
        continue;
      Changed = true;
      if (Member.Probe && Member.Reachable) {
        Member.Probe->RetryAt = now() + ProbeRetryDelay;
        ++Member.Probe->FailedConnects;
      } else if (Member.Probe)
        markUnreachable(Member);
      else if (Member.Reachable)
        suspect(Member, announcementDelay());
    }
  }

  void onPause(duration Pause) override {
    forgive(Pause);
    // The others may have found this VM unreachable; a message to each of them ends that at once.
    if (Pause >= Options.SuspicionTimeout)
      broadcast(makeHeartbeat());
  }

  void startDraining() override {
    if (SelfEntry.state() == schema::VM_DRAINING)
      return;
    SelfEntry.set_state(schema::VM_DRAINING);
    noteChange();
    schema::envelope Message;
    Message.mutable_draining();
    broadcast(Message);
  }

  void setOwnSummary(const schema::domain_summary &Summary) override {
    OwnSummary = summary_record{Summary, now()};
  }

  void setCatalogVersion(std::uint64_t Version) override { CatalogVersion = Version; }

  void tick() override {
    if (!Changed && now() < ExpectedWakeup)
      return;
    duration Lateness = now() - ExpectedWakeup;
    if (Lateness > MaxLateness)
      forgive(Lateness);
    watchPredecessor();
    for (auto &[Vm, Member] : Members)
      serveProbe(Member);
    auto Forgotten = std::erase_if(Members, [this](const auto &Item) {
      const member &Member = Item.second;
      return !Member.Reachable && !Member.Listed && now() - Member.UnreachableSince >= ForgetUnlisted;
    });
    if (Forgotten > 0)
      noteChange();
    if (now() >= nextHeartbeat())
      sendHeartbeat();
    ExpectedWakeup = computeWakeup();
    Changed = false;
  }

  // A message alone can only postpone the next wake-up, so an unchanged one stays good.
  [[nodiscard]] time_point nextWakeup() const override { return Changed ? computeWakeup() : ExpectedWakeup; }
  std::vector<membership_send> takeSends() override { return std::exchange(Sends, {}); }

  std::vector<membership_event> takeEvents() override {
    noteDispatchers();
    return std::exchange(Events, {});
  }

  [[nodiscard]] std::optional<schema::incarnation> dispatcher(const std::string &Domain) const override {
    const schema::vm_entry *Found = dispatchers().find(Domain);
    return Found == nullptr ? std::nullopt : std::optional(Found->self());
  }

  [[nodiscard]] bool isDispatcher() const override {
    return sameIncarnation(*dispatcher(Options.Domain), Options.Self);
  }

  [[nodiscard]] bool reachable(const schema::incarnation &Vm) const override {
    if (sameIncarnation(Vm, Options.Self))
      return true;
    const member *Member = findCurrent(Vm);
    return Member != nullptr && Member->Reachable;
  }

  [[nodiscard]] bool replaced(const schema::incarnation &Vm) const override {
    if (Vm.vm() == Options.Self.vm())
      return olderIncarnation(Vm, Options.Self);
    auto Found = Members.find(Vm.vm());
    if (Found == Members.end() || !Found->second.known())
      return false;
    const member &Member = Found->second;
    if (sameIncarnation(Vm, Member.incarnation()))
      return false;
    return olderIncarnation(Vm, Member.incarnation()) ||
           std::ranges::any_of(Member.Past, [&](const auto &Past) { return sameIncarnation(Past, Vm); });
  }

  [[nodiscard]] std::vector<member_view> members() const override {
    std::vector<member_view> Views{{SelfEntry, 0}};
    for (const auto &[Vm, Member] : Members) {
      double SilentMs = Member.known() ? runtime::toMs(now() - Member.LastHeard) : 0;
      Views.push_back({reportedEntry(Member), SilentMs});
    }
    return Views;
  }

  [[nodiscard]] std::vector<schema::domain_summary> summaries() const override {
    std::vector<schema::domain_summary> Result;
    for (const auto &[Domain, Record] : Summaries.all())
      if (!Dispatchers.ownGroup(Domain) && usable(Record))
        Result.push_back(Record.aged(now()));
    return Result;
  }

  [[nodiscard]] std::string addressOf(const std::string &Vm) const override {
    if (Vm == Options.Self.vm())
      return Options.PeerAddress;
    auto Found = Members.find(Vm);
    return Found == Members.end() ? std::string() : Found->second.Entry.peer_address();
  }

private:
  [[nodiscard]] time_point now() const { return Clock.now(); }

  [[nodiscard]] time_point computeWakeup() const {
    time_point Next = nextHeartbeat();
    if (const member *Predecessor = predecessor(); Predecessor != nullptr && !silenceNoted(*Predecessor))
      Next = std::min(Next, silenceStart(*Predecessor) + Options.SuspicionTimeout - AnnounceDelay);
    for (const auto &[Vm, Member] : Members) {
      if (Member.Probe)
        Next = std::min({Next, nextDeadline(*Member.Probe), Member.Probe->RetryAt, Member.Probe->AnnounceAt});
      else if (!Member.Reachable)
        Next = std::min(Next, Member.NextProbe);
    }
    return Next;
  }

  // Members

  [[nodiscard]] const member *findCurrent(const schema::incarnation &Vm) const {
    auto Found = Members.find(Vm.vm());
    bool Current =
        Found != Members.end() && Found->second.known() && sameIncarnation(Found->second.incarnation(), Vm);
    return Current ? &Found->second : nullptr;
  }
  member *findCurrent(const schema::incarnation &Vm) {
    return const_cast<member *>(std::as_const(*this).findCurrent(Vm));
  }

  member &memberOf(const std::string &Vm) {
    member &Member = Members[Vm];
    if (Member.Entry.self().vm().empty())
      Member.Entry.mutable_self()->set_vm(Vm);
    return Member;
  }

  [[nodiscard]] std::size_t aliveCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Members, [](const auto &Item) { return Item.second.Reachable; }));
  }

  void applyListed(const schema::entry_vm &Entry) {
    if (Entry.id() == Options.Self.vm())
      return;
    member &Member = memberOf(Entry.id());
    bool IsNew = !Member.Listed && !Member.known();
    Member.Listed = true;
    if (Member.Reachable && !Member.Entry.peer_address().empty())
      return;
    Member.Entry.set_domain(Entry.domain());
    Member.Entry.set_peer_address(Entry.peer_address());
    // VMs that are starting announce themselves; the probe is for those that do not know this VM.
    if (IsNew)
      Member.NextProbe = now() + Random.spread(Options.UnreachableProbePeriod, 0.5);
  }

  // Contacts the listed VMs one after the other, from the successor on. The first that answers tells
  // everything it knows, so that a join costs a few messages.
  void planJoin() {
    duration Delay{};
    auto First = Members.upper_bound(Options.Self.vm());
    auto Plan = [&](auto Begin, auto End) {
      for (; Begin != End && Delay < Options.UnreachableProbePeriod; ++Begin) {
        if (Begin->second.known())
          continue;
        Begin->second.NextProbe = now() + Delay;
        Delay += JoinStep;
      }
    };
    Plan(First, Members.end());
    Plan(Members.begin(), First);
  }

  // Makes an incarnation the current one of its VM.
  void adopt(member &Member, const schema::incarnation &Incarnation, const std::string &Domain,
             schema::vm_state State) {
    if (Member.known()) {
      addEvent(membership_event::kind::Replaced, Member);
      Member.Past.push_back(Member.incarnation());
      if (Member.Past.size() > MaxPastIncarnations)
        Member.Past.erase(Member.Past.begin());
    }
    noteChange();
    std::erase_if(Member.Past, [&](const auto &Past) { return sameIncarnation(Past, Incarnation); });
    *Member.Entry.mutable_self() = Incarnation;
    Member.Entry.set_domain(Domain);
    Member.Entry.set_state(State);
    Member.Reachable = false;
    Member.Probe.reset();
    Member.LastHeard = now();
    Member.UnreachableSince = now();
    Member.Repeats = ChangeRepeats;
  }

  void markReachable(member &Member) {
    if (Member.Reachable)
      return;
    noteChange();
    Member.Reachable = true;
    Member.Repeats = ChangeRepeats;
    addEvent(membership_event::kind::Reachable, Member);
    if (Member.draining())
      addEvent(membership_event::kind::Draining, Member);
  }

  void markUnreachable(member &Member) {
    noteChange();
    Member.Probe.reset();
    Member.NextProbe = now() + Random.spread(Options.UnreachableProbePeriod, 0.5);
    if (!Member.Reachable)
      return;
    Member.Reachable = false;
    Member.UnreachableSince = now();
    Member.Repeats = ChangeRepeats;
    addEvent(membership_event::kind::Unreachable, Member);
  }

  void markDraining(member &Member) {
    if (Member.draining())
      return;
    noteChange();
    Member.Entry.set_state(schema::VM_DRAINING);
    Member.Repeats = ChangeRepeats;
    if (Member.Reachable)
      addEvent(membership_event::kind::Draining, Member);
  }

  void addEvent(membership_event::kind Kind, const member &Member) {
    Events.push_back({Kind, Member.incarnation(), Member.Entry.domain()});
  }

  // Entry as others are told: a VM that is not reachable from here is reported as such.
  [[nodiscard]] static schema::vm_entry reportedEntry(const member &Member) {
    schema::vm_entry Entry = Member.Entry;
    if (Member.known() && !Member.Reachable)
      Entry.set_state(schema::VM_UNREACHABLE);
    return Entry;
  }

  // The ring

  [[nodiscard]] const member *predecessor() const {
    auto Self = Members.lower_bound(Options.Self.vm());
    const member *Found = nullptr;
    for (auto Position = Members.begin(); Position != Members.end(); ++Position) {
      // The last reachable one before the own id, or else the last of all.
      if (Position == Self && Found != nullptr)
        break;
      if (Position->second.Reachable)
        Found = &Position->second;
    }
    return Found;
  }
  member *predecessor() { return const_cast<member *>(std::as_const(*this).predecessor()); }

  member *successor() {
    auto First = Members.upper_bound(Options.Self.vm());
    auto IsReachable = [](const auto &Item) { return Item.second.Reachable; };
    auto Found = std::find_if(First, Members.end(), IsReachable);
    if (Found == Members.end())
      Found = std::find_if(Members.begin(), First, IsReachable);
    return Found == Members.end() || !Found->second.Reachable ? nullptr : &Found->second;
  }

  [[nodiscard]] bool setsPace() const {
    return std::ranges::none_of(Members, [this](const auto &Item) {
      return Item.second.Reachable && Item.first < Options.Self.vm();
    });
  }

  [[nodiscard]] time_point nextHeartbeat() const {
    double Fraction = setsPace() ? 1.0 : FollowerFraction;
    return LastHeartbeat + part(Options.HeartbeatPeriod, Fraction);
  }

  // A VM that has just become the predecessor has not had to send heartbeats here before.
  [[nodiscard]] time_point silenceStart(const member &Predecessor) const {
    bool Watched = Predecessor.Entry.self().vm() == WatchedVm;
    return std::max(Predecessor.LastHeard, Watched ? WatchedSince : now());
  }

  void watchPredecessor() {
    member *Predecessor = predecessor();
    if (Predecessor == nullptr) {
      WatchedVm.clear();
      return;
    }
    if (WatchedVm != Predecessor->incarnation().vm()) {
      WatchedVm = Predecessor->incarnation().vm();
      WatchedSince = now();
    }
    if (now() - silenceStart(*Predecessor) < Options.SuspicionTimeout - AnnounceDelay ||
        silenceNoted(*Predecessor))
      return;
    suspect(*Predecessor, AnnounceDelay);
    // The time until the announcement is not part of the time for the answer.
    Predecessor->Probe->Start = now() + AnnounceDelay;
    Predecessor->Probe->Silent = true;
    Predecessor->Probe->Announcement = schema::VM_UNKNOWN;
  }

  // Whether nothing is left to find out about the silence of a VM: it is announced, or its process has ended.
  [[nodiscard]] static bool silenceNoted(const member &Member) {
    return Member.Probe && (Member.Probe->Silent || Member.Probe->FailedConnects >= RefusedConnects);
  }

  // Probes

  duration announcementDelay() {
    return AnnounceDelay + std::chrono::duration_cast<duration>(AnnounceSpread * Random.uniform());
  }

  void suspect(member &Member, duration UntilAnnouncement) {
    if (!Member.Probe)
      startProbe(Member);
    Changed = true;
    Member.Probe->AnnounceAt = std::min(Member.Probe->AnnounceAt, now() + UntilAnnouncement);
  }

  void startProbe(member &Member) {
    Changed = true;
    Member.Probe = probe_state{};
    Member.Probe->Start = now();
    sendProbe(Member);
  }

  void sendProbe(member &Member) {
    Member.LastProbe = now();
    // Somebody who knows nobody introduces itself instead, which is answered by everything known.
    if (!Member.known() && aliveCount() == 0) {
      schema::envelope Introduction;
      *Introduction.mutable_heartbeat()->add_vms() = SelfEntry;
      send(Member, std::move(Introduction));
      return;
    }
    schema::envelope Message;
    Message.mutable_probe()->set_sequence(++ProbeSequence);
    send(Member, std::move(Message));
  }

  void serveProbe(member &Member) {
    if (!Member.Probe) {
      if (!Member.Reachable && now() >= Member.NextProbe)
        startProbe(Member);
      return;
    }
    duration Unanswered = now() - Member.Probe->Start;
    if (Unanswered >= Options.ProbeTimeout * PatientFactor ||
        (Unanswered >= Options.ProbeTimeout && silentBefore(Member))) {
      markUnreachable(Member);
      return;
    }
    if (now() >= Member.Probe->RetryAt) {
      Member.Probe->RetryAt = time_point::max();
      sendProbe(Member);
    }
    if (now() >= Member.Probe->AnnounceAt) {
      Member.Probe->AnnounceAt = time_point::max();
      announceSuspicion(Member);
    }
  }

  [[nodiscard]] time_point nextDeadline(const probe_state &Probe) const {
    time_point First = Probe.Start + Options.ProbeTimeout;
    return now() < First ? First : Probe.Start + Options.ProbeTimeout * PatientFactor;
  }

  // Whether the VM had been silent before it was probed, or nobody could have noticed its silence because its
  // successor on the ring does not answer either.
  [[nodiscard]] bool silentBefore(const member &Member) const {
    if (!Member.Reachable || Member.Probe->Silent || Member.Probe->FailedConnects >= RefusedConnects)
      return true;
    // Ring order, starting behind the VM; the own VM is in the ring, but not in the map.
    const std::string &Vm = Member.incarnation().vm();
    auto Rank = [&](const std::string &Id) { return std::make_pair(Id < Vm, Id); };
    const member *Next = nullptr;
    for (const auto &[Id, Candidate] : Members) {
      bool InRing =
          Candidate.Reachable || (Candidate.known() && Candidate.UnreachableSince >= Member.Probe->Start);
      if (&Candidate != &Member && InRing && (Next == nullptr || Rank(Id) < Rank(Next->incarnation().vm())))
        Next = &Candidate;
    }
    bool IsOwn = Next == nullptr || Rank(Options.Self.vm()) < Rank(Next->incarnation().vm());
    return !IsOwn && (!Next->Reachable || Next->Probe);
  }

  // Has all VMs probe the suspected one, so that all find out at about the same time.
  void announceSuspicion(member &Suspected) {
    bool Silent = Suspected.Probe->Announcement == schema::VM_UNKNOWN;
    // Somebody else has just announced the same.
    if (!Silent && Suspected.LastAnnouncement && now() - *Suspected.LastAnnouncement < Options.ProbeTimeout)
      return;
    schema::envelope Message;
    *Message.mutable_heartbeat()->add_vms() = Suspected.Entry;
    Message.mutable_heartbeat()->mutable_vms(0)->set_state(Suspected.Probe->Announcement);
    for (auto &[Vm, Member] : Members)
      if (Member.Reachable && &Member != &Suspected)
        send(Member, Message);
    if (Silent)
      checkAll();
  }

  // VMs that fail together may be neighbours on the ring, so that nobody hears the silence of some of them.
  // Therefore silence of one VM has all VMs probe all others.
  void checkAll() {
    if (LastCheckAll && now() - *LastCheckAll < MinCheckAllInterval)
      return;
    LastCheckAll = now();
    for (auto &[Vm, Member] : Members)
      if (Member.Reachable && !Member.Probe && now() - Member.LastHeard >= RecentlyHeard)
        startProbe(Member);
  }

  // The own process has not run for a while: silence in that time means nothing.
  void forgive(duration Pause) {
    Changed = true;
    for (auto &[Vm, Member] : Members) {
      Member.LastHeard = std::min(now(), Member.LastHeard + Pause);
      if (!Member.Probe)
        continue;
      Member.Probe->Start += Pause;
      if (Member.Probe->AnnounceAt != time_point::max())
        Member.Probe->AnnounceAt += Pause;
    }
    WatchedSince = std::min(now(), WatchedSince + Pause);
    ExpectedWakeup = now();
  }

  // News of others

  void applyGossip(const schema::incarnation &From, const schema::vm_entry &Entry) {
    const schema::incarnation &Incarnation = Entry.self();
    if (Incarnation.vm() == Options.Self.vm() || Incarnation.vm().empty() || Incarnation.started_ms() == 0)
      return;
    member *Member = findCurrent(Incarnation);
    if (Member == nullptr) {
      Member = adoptNews(Entry);
      if (Member == nullptr)
        return;
    }
    bool FromItself = sameIncarnation(From, Incarnation);
    if (FromItself || Member->Entry.peer_address().empty())
      Member->Entry.set_peer_address(Entry.peer_address());
    bool TakesDomain = FromItself || Member->Entry.domain().empty();
    if (TakesDomain && Member->Entry.domain() != Entry.domain()) {
      Member->Entry.set_domain(Entry.domain());
      noteChange();
    }
    switch (Entry.state()) {
    case schema::VM_DRAINING:
      markDraining(*Member);
      [[fallthrough]];
    case schema::VM_LIVE:
      hintReachable(*Member);
      break;
    case schema::VM_UNREACHABLE:
      hintUnreachable(*Member);
      break;
    default:
      hintUnreachable(*Member);
      if (Member->Probe && !Member->Probe->Silent) {
        Member->Probe->Start = now();
        Member->Probe->Silent = true;
      }
      checkAll();
      break;
    }
  }

  // That an incarnation exists is a fact, not a judgement, so it is believed.
  member *adoptNews(const schema::vm_entry &Entry) {
    auto Found = Members.find(Entry.self().vm());
    bool Older = Found != Members.end() && Found->second.known() &&
                 olderIncarnation(Entry.self(), Found->second.incarnation());
    bool IsUnreachable = Entry.state() == schema::VM_UNREACHABLE;
    // VMs that have been forgotten here stay forgotten while others still report them as unreachable.
    bool Forgotten = Found == Members.end() && IsUnreachable;
    if (Older || Forgotten || Entry.state() == schema::VM_UNKNOWN)
      return nullptr;
    member &Member = memberOf(Entry.self().vm());
    adopt(Member, Entry.self(), Entry.domain(), IsUnreachable ? schema::VM_LIVE : Entry.state());
    if (!Entry.peer_address().empty())
      Member.Entry.set_peer_address(Entry.peer_address());
    if (IsUnreachable)
      startProbe(Member);
    else
      markReachable(Member);
    return &Member;
  }

  void hintReachable(member &Member) {
    bool Due = !Member.LastProbe || now() - *Member.LastProbe >= MinHintedProbeInterval;
    if (!Member.Reachable && !Member.Probe && Due)
      startProbe(Member);
  }

  // Only direct evidence counts, so the VM is probed.
  void hintUnreachable(member &Member) {
    Member.LastAnnouncement = now();
    if (Member.Reachable && !Member.Probe)
      startProbe(Member);
  }

  [[nodiscard]] bool usable(const summary_record &Record) const {
    return reachable(Record.Summary.dispatcher()) && Record.usable(now());
  }

  void applySummary(const schema::domain_summary &Summary) {
    auto Dispatcher = dispatcher(Summary.domain());
    if (Dispatcher && sameIncarnation(*Dispatcher, Summary.dispatcher()))
      Summaries.take(Summary, now());
  }

  // Sending

  void send(const member &To, schema::envelope Message) {
    Sends.push_back({To.Entry.self().vm(), To.Entry.peer_address(), std::move(Message)});
  }

  void broadcast(const schema::envelope &Message) {
    for (auto &[Vm, Member] : Members)
      if (Member.Reachable)
        send(Member, Message);
  }

  void sendHeartbeat() {
    Changed = true;
    LastHeartbeat = now();
    member *Successor = successor();
    if (Successor == nullptr)
      return;
    send(*Successor, makeHeartbeat());
  }

  // The own entry, changes, and a few others in turn: 100 entries take 4.4 KB in membership-bench.
  schema::envelope makeHeartbeat() {
    schema::envelope Message;
    auto &Heartbeat = *Message.mutable_heartbeat();
    *Heartbeat.add_vms() = SelfEntry;
    int News = 0;
    std::set<std::string> Included;
    for (auto &[Vm, Member] : Members) {
      if (Member.Repeats == 0 || !Member.known() || News == MaxChangedEntries)
        continue;
      *Heartbeat.add_vms() = reportedEntry(Member);
      Included.insert(Vm);
      --Member.Repeats;
      ++News;
    }
    auto Position = Members.upper_bound(RotationVm);
    int Added = 0;
    for (std::size_t Index = 0; Index < Members.size() && Added < RotatingEntries; ++Index, ++Position) {
      if (Position == Members.end())
        Position = Members.begin();
      RotationVm = Position->first;
      if (!Position->second.known() || Included.contains(RotationVm))
        continue;
      *Heartbeat.add_vms() = reportedEntry(Position->second);
      ++Added;
    }
    addSummaries(Heartbeat);
    Heartbeat.set_catalog_version(CatalogVersion);
    return Message;
  }

  void addSummaries(schema::heartbeat &Heartbeat) const {
    bool IsDispatcher = isDispatcher();
    if (OwnSummary && IsDispatcher)
      *Heartbeat.add_domains() = OwnSummary->aged(now());
    for (const auto &[Domain, Record] : Summaries.all())
      if (usable(Record) && !(IsDispatcher && Dispatchers.ownGroup(Domain)))
        *Heartbeat.add_domains() = Record.aged(now());
  }

  void sendEverything(const member &To) {
    schema::envelope Message;
    auto &Heartbeat = *Message.mutable_heartbeat();
    *Heartbeat.add_vms() = SelfEntry;
    for (const auto &[Vm, Member] : Members)
      if (Member.known())
        *Heartbeat.add_vms() = reportedEntry(Member);
    addSummaries(Heartbeat);
    Heartbeat.set_catalog_version(CatalogVersion);
    send(To, std::move(Message));
  }

  // Dispatchers

  [[nodiscard]] const dispatcher_map &dispatchers() const {
    if (DispatchersValid)
      return Dispatchers;
    Dispatchers.clear();
    Dispatchers.add(SelfEntry);
    for (const auto &[Vm, Member] : Members)
      if (Member.Reachable)
        Dispatchers.add(Member.Entry);
    Dispatchers.shareInGroup();
    DispatchersValid = true;
    return Dispatchers;
  }

  void noteDispatchers() {
    if (DispatchersValid && DispatchersNoted)
      return;
    std::map<std::string, schema::incarnation> Now;
    for (const auto &[Domain, Entry] : dispatchers().all())
      Now[Domain] = Entry->self();
    for (const auto &[Domain, Before] : LastDispatchers)
      if (!Now.contains(Domain))
        Events.push_back({membership_event::kind::DispatcherChanged, {}, Domain});
    for (const auto &[Domain, Incarnation] : Now) {
      auto Before = LastDispatchers.find(Domain);
      if (Before == LastDispatchers.end() || !sameIncarnation(Before->second, Incarnation))
        Events.push_back({membership_event::kind::DispatcherChanged, Incarnation, Domain});
    }
    LastDispatchers = std::move(Now);
    DispatchersNoted = true;
  }

  // The set of members, or what is known of one, has changed.
  void noteChange() {
    Changed = true;
    DispatchersValid = false;
    DispatchersNoted = false;
  }

  const runtime::clock &Clock;
  membership_options Options;
  runtime::random Random;
  schema::vm_entry SelfEntry;
  // By VM id, which is the order of the ring; without this VM.
  std::map<std::string, member> Members;
  summary_store Summaries;
  std::optional<summary_record> OwnSummary;
  std::uint64_t CatalogVersion = 0;
  std::uint64_t ProbeSequence = 0;
  time_point LastHeartbeat;
  time_point ExpectedWakeup;
  std::optional<time_point> LastCheckAll;
  std::string WatchedVm;
  time_point WatchedSince;
  std::string RotationVm;
  mutable dispatcher_map Dispatchers;
  mutable bool DispatchersValid = false;
  bool DispatchersNoted = false;
  std::map<std::string, schema::incarnation> LastDispatchers;
  // Whether the next wake-up has to be computed anew.
  bool Changed = true;
  std::vector<membership_send> Sends;
  std::vector<membership_event> Events;
};

} // namespace

std::unique_ptr<membership> makeMembership(const runtime::clock &Clock, membership_options Options) {
  return std::make_unique<membership_impl>(Clock, std::move(Options));
}

} // namespace yuccaplank::model
