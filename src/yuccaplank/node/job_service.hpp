// Accepts, routes, and answers jobs. The authority of a job decides once whether it starts.
#pragma once

#include "job_runner.hpp"
#include "peer_network.hpp"
#include "yuccaplank/model/catalog.hpp"
#include "yuccaplank/model/job_table.hpp"
#include "yuccaplank/storage/claims.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace yuccaplank::node {

class job_service {
public:
  struct parts {
    runtime::executor &Executor;
    peer_network &Peers;
    model::membership &Membership;
    model::catalog &Catalog;
    model::job_table &Jobs;
    model::scheduler &Scheduler;
    job_runner &Runner;
    storage::claims &Claims;
    node_counters &Counters;
  };
  job_service(parts Parts, schema::incarnation Self, std::string Domain);

  // Callers of this VM.
  std::uint64_t submit(submit_request Request, answer_function OnAnswer);
  std::uint64_t query(const std::string &Id, std::uint32_t WaitMs, answer_function OnAnswer);
  void cancel(const std::string &Id, answer_function OnAnswer);
  void callerGone(std::uint64_t Handle);

  // Peers.
  void onForward(const schema::incarnation &From, const schema::forward_job &Request);
  void onQuery(const schema::incarnation &From, const schema::query_job &Request);
  void onCancel(const schema::incarnation &From, const schema::cancel_job &Request);
  /// A peer cannot be reached any more: its guests end here.
  void onPeerLost(const schema::incarnation &Peer);

  void startDraining() { Draining = true; }
  /// Jobs that run here or whose answer is awaited here.
  [[nodiscard]] std::size_t inProgress() const;
  /// Summaries say what other domains had free; this is what was sent there since.
  void onSummariesChanged() { Debits.clear(); }

private:
  using job_ptr = std::shared_ptr<const schema::job>;
  using service_ptr = std::shared_ptr<const schema::service_revision>;

  // A submission at its authority.
  struct authority_request {
    model::job_id Id;
    job_ptr Job;
    service_ptr Service;
    runtime::time_point Deadline;
    std::uint64_t Handle = 0;
    bool RespondAsync = false;
  };
  // Where a job of this authority runs: here, or at a peer.
  struct active_job {
    model::job_key Key = 0;
    std::uint64_t Exchange = 0;
    std::string Vm;
  };

  std::uint64_t addWaiter(answer_function OnAnswer);
  void deliver(std::uint64_t Handle, const schema::job_answer &Answer);
  void deliverAll(const std::vector<std::uint64_t> &Handles, const schema::job_answer &Answer);

  std::optional<schema::job_answer> checkDocument(const submit_request &Request, service_ptr &Service) const;
  void route(submit_request Request, service_ptr Service, std::uint64_t Handle);
  void forward(const schema::incarnation &Peer, const submit_request &Request, runtime::time_point Deadline,
               std::uint64_t Handle);
  void submitInsteadOf(const submit_request &Request, runtime::time_point Deadline, std::uint64_t Handle);
  void submitHere(submit_request Request, service_ptr Service, runtime::time_point Deadline,
                  std::uint64_t Handle);
  void submitKeyed(authority_request Request);
  void claimResolved(const std::string &Key, const runtime::result<storage::claim_owner> &Owner);
  void rememberUnstarted(const std::string &Key);
  void keyOwned(const authority_request &Request, const storage::claim_owner &Owner);
  void submitToTable(const authority_request &Request);

  void execute(const authority_request &Request);
  void executeHere(const authority_request &Request, bool MayOverflow);
  void executeAtPeer(const authority_request &Request, const schema::incarnation &Peer);
  void peerAnswered(const authority_request &Request, const schema::job_answer &Answer);
  /// Sends a job to a peer; one of the handlers runs.
  std::uint64_t sendForward(const schema::incarnation &Peer, schema::forward_job Forward,
                            runtime::time_point Deadline, exchanges::answer_handler OnAnswer,
                            exchanges::failure_handler OnFailure);
  std::optional<schema::incarnation> ownDispatcher() const;
  /// Why a job may move to another group.
  enum class overflow_cause : std::uint8_t {
    /// It would wait here.
    Wait,
    /// It was refused here for want of room.
    NoRoom,
    /// No server here fits.
    NoFit,
  };
  std::optional<schema::incarnation> overflowTarget(const authority_request &Request, overflow_cause Cause);
  [[nodiscard]] bool worthMoving(const authority_request &Request, const model::scheduler_load &Load) const;
  void jobEnded(const std::string &Id, schema::job_answer Answer);
  void refuse(const std::string &Id, const model::admission_refusal &Refusal);
  void unknown(const std::string &Id, const schema::incarnation &Authority, std::uint64_t Handle);

  void runGuest(const schema::incarnation &From, const schema::forward_job &Request);
  answer_function answerTo(const schema::incarnation &From, std::uint64_t Exchange);
  // A query or cancellation for the authority of a job.
  struct peer_question {
    std::string Id;
    std::uint64_t Handle = 0;
    std::uint32_t WaitMs = 0;
    bool Cancel = false;
  };
  void askAuthority(const model::job_id &Id, peer_question Question, const std::function<void()> &Here);
  void askPeer(const schema::incarnation &Authority, const peer_question &Question);
  void queryHere(const model::job_id &Id, std::uint32_t WaitMs, std::uint64_t Handle);
  void cancelHere(const model::job_id &Id, std::uint64_t Handle);

  parts P;
  schema::incarnation Self;
  std::string Domain;
  bool Draining = false;

  std::uint64_t LastHandle = 0;
  std::unordered_map<std::uint64_t, answer_function> Waiters;
  std::unordered_map<std::string, active_job> Active;
  // Jobs that run here for another authority, by incarnation name and exchange.
  std::map<std::pair<std::string, std::uint64_t>, model::job_key> Guests;
  // Submissions that wait for the claim of their key.
  std::unordered_map<std::string, std::vector<authority_request>> Claiming;
  // Keys claimed by this incarnation under which nothing has started.
  std::unordered_set<std::string> UnstartedKeys;
  std::unordered_map<std::string, std::uint32_t> Debits;
};

} // namespace yuccaplank::node
