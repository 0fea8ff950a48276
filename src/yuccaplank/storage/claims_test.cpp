#include "yuccaplank/storage/claims.hpp"

#include "yuccaplank/storage/fake_table.hpp"
#include "yuccaplank/testing/story.hpp"

#include <fmt/format.h>

#include <vector>

using namespace std::chrono_literals;
using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

storage::claims_options optionsOf(const std::string &Vm) {
  storage::claims_options Options;
  Options.Self.Authority.set_vm(Vm);
  Options.Self.Authority.set_started_ms(1000);
  Options.Self.Authority.set_nonce(7);
  Options.Self.Domain = "d1";
  return Options;
}

// Two VMs that claim keys on one platform, with what their claims led to.
struct claim_setup {
  std::unique_ptr<runtime::manual_executor> Executor = runtime::makeManualExecutor();
  std::shared_ptr<storage::fake_platform> Platform = storage::makeFakePlatform(*Executor);
  std::unique_ptr<storage::table> TableA = Platform->makeClient();
  std::unique_ptr<storage::table> TableB = Platform->makeClient();
  std::unique_ptr<storage::claims> A = storage::makeClaims(*Executor, *TableA, optionsOf("a"));
  std::unique_ptr<storage::claims> B = storage::makeClaims(*Executor, *TableB, optionsOf("b"));
  // Owners in the order of their arrival; errors by name.
  std::string Log;

  void claim(storage::claims &Claims, const std::string &Key) {
    Claims.claim("proofs/" + Key, [this, Key](runtime::result<storage::claim_owner> Owner) {
      Log += fmt::format("{}:{} ", Key,
                         Owner ? Owner.value().Authority.vm() : std::string(Owner.error().message()));
    });
  }
  [[nodiscard]] std::uint64_t writes() const { return Platform->totals().Writes; }
};

// Guards against one write per claim, which would use up the platform's capacity.
const story Batching("claims: batching", [] {
  claim_setup Setup;
  if (auto When = section("when claims arrive within 5 ms")) {
    for (const char *Key : {"k1", "k2", "k3"}) {
      Setup.claim(*Setup.A, Key);
      Setup.Executor->advance(2ms);
    }
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:a k2:a k3:a "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Setup.writes());
  }
  if (auto When = section("when claims arrive while a write is in flight")) {
    Setup.Platform->faults().ExtraDelay = 50ms;
    Setup.claim(*Setup.A, "k0");
    Setup.Executor->advance(6ms);
    for (int Index = 1; Index <= 20; ++Index) {
      Setup.claim(*Setup.A, fmt::format("k{}", Index));
      Setup.Executor->advance(4ms);
    }
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Setup.writes());
    CPPUNIT_ASSERT(Setup.Log.find("k20:a") != std::string::npos);
  }
  if (auto When = section("when the same key is claimed twice at once")) {
    Setup.claim(*Setup.A, "k");
    Setup.claim(*Setup.A, "k");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k:a k:a "), Setup.Log);
  }
  if (auto When = section("when more claims arrive than one transaction holds")) {
    for (int Index = 0; Index < 500; ++Index)
      Setup.claim(*Setup.A, fmt::format("k{}", Index));
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Setup.writes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, Setup.Platform->state().rows("claim/proofs/").size());
  }
});

// Guards against two VMs that both believe to own a key, which would start its job twice.
const story Conflicts("claims: conflicts", [] {
  claim_setup Setup;
  Setup.claim(*Setup.A, "k2");
  Setup.claim(*Setup.A, "k4");
  Setup.Executor->advance(1s);
  Setup.Log.clear();
  if (auto When = section("when some keys of a transaction are taken")) {
    for (const char *Key : {"k1", "k2", "k3", "k4", "k5"})
      Setup.claim(*Setup.B, Key);
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k2:a k4:a k1:b k3:b k5:b "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Setup.writes());
  }
  if (auto When = section("when all keys of a transaction are taken")) {
    Setup.claim(*Setup.B, "k2");
    Setup.claim(*Setup.B, "k4");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k2:a k4:a "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Setup.writes());
  }
  if (auto When = section("when both claim the same key at once")) {
    Setup.claim(*Setup.A, "k");
    Setup.claim(*Setup.B, "k");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k:a k:a "), Setup.Log);
  }
  if (auto When = section("when the owner claims its key again")) {
    Setup.claim(*Setup.A, "k2");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k2:a "), Setup.Log);
  }
  if (auto When = section("when the claims object is gone before the reply")) {
    Setup.claim(*Setup.B, "k9");
    Setup.Executor->advance(6ms);
    Setup.B.reset();
    Setup.Executor->advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string(), Setup.Log);
  }
});

// Guards against a claim that is reported as failed or foreign although it took effect.
const story LostReplies("claims: lost replies and outages", [] {
  claim_setup Setup;
  auto &Faults = Setup.Platform->faults();
  if (auto When = section("when a reply is lost after the effect")) {
    Faults.LoseNextReplies = 1;
    Setup.claim(*Setup.A, "k1");
    Setup.claim(*Setup.A, "k2");
    Setup.Executor->advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:a k2:a "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Setup.writes());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Setup.Platform->totals().Reads);
  }
  if (auto When = section("when a request is lost without effect")) {
    Faults.LoseNextRequests = 1;
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:a "), Setup.Log);
  }
  if (auto When = section("when another VM takes the key while the outcome is open")) {
    Faults.LoseNextRequests = 1;
    Setup.claim(*Setup.A, "k1");
    Setup.claim(*Setup.A, "k2");
    Setup.Executor->advance(1s);
    Setup.claim(*Setup.B, "k2");
    Setup.Executor->advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("k2:b k2:b k1:a "), Setup.Log);
  }
  if (auto When = section("when a delayed request takes effect after its time-out")) {
    Faults.ExtraDelay = 2s;
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(10ms);
    Faults.ExtraDelay = 0s;
    Setup.Executor->advance(6s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:a "), Setup.Log);
  }
  if (auto When = section("when a delayed request takes effect between the read back and the repetition")) {
    Setup.claim(*Setup.A, "k1");
    // Sent at 5 ms; read back until 1507 ms; the repetition arrives at 1508 ms.
    Setup.Executor->advance(4500us);
    Faults.ExtraDelay = 1501500us;
    Setup.Executor->advance(1ms);
    Faults.ExtraDelay = 0s;
    Setup.Executor->advance(6s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:a "), Setup.Log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Setup.writes());
  }
  if (auto When = section("when the platform is down")) {
    Faults.Mode = storage::fake_mode::Down;
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:platform_unavailable "), Setup.Log);
    Faults.Mode = storage::fake_mode::Normal;
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:platform_unavailable k1:a "), Setup.Log);
  }
  if (auto When = section("when the platform fails right after the effect")) {
    Faults.LoseNextReplies = 1;
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(100ms);
    Faults.Mode = storage::fake_mode::Hang;
    Setup.Executor->advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:platform_unavailable "), Setup.Log);
    Faults.Mode = storage::fake_mode::Normal;
    Setup.claim(*Setup.B, "k1");
    Setup.claim(*Setup.A, "k1");
    Setup.Executor->advance(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("k1:platform_unavailable k1:a k1:a "), Setup.Log);
  }
  if (auto When = section("when every second reply is lost")) {
    Faults.LoseRepliesPercent = 50;
    for (int Index = 0; Index < 200; ++Index) {
      Setup.claim(Index % 2 == 0 ? *Setup.A : *Setup.B, fmt::format("k{}", Index / 2));
      Setup.Executor->advance(20ms);
    }
    Setup.Executor->advance(60s);
    // Both VMs name the same owner for every key.
    for (int Key = 0; Key < 100; ++Key) {
      bool ByA = Setup.Log.find(fmt::format("k{}:a ", Key)) != std::string::npos;
      bool ByB = Setup.Log.find(fmt::format("k{}:b ", Key)) != std::string::npos;
      CPPUNIT_ASSERT(ByA != ByB);
    }
  }
});

// Guards against a key that is run again: only the claim that inserted the row, or one whose outcome was
// open, may start a job.
const story Inserting("claims: who inserted", [] {
  claim_setup Setup;
  auto Inserted = [&](storage::claims &Claims) {
    std::string Result = "none";
    Claims.claim("k", [&](const runtime::result<storage::claim_owner> &Owner) {
      Result = !Owner ? "error" : Owner.value().Inserted ? "inserted" : "found";
    });
    Setup.Executor->advance(5s);
    return Result;
  };
  if (auto When = section("when a key is claimed again")) {
    CPPUNIT_ASSERT_EQUAL(std::string("inserted"), Inserted(*Setup.A));
    CPPUNIT_ASSERT_EQUAL(std::string("found"), Inserted(*Setup.A));
    CPPUNIT_ASSERT_EQUAL(std::string("found"), Inserted(*Setup.B));
  }
  if (auto When = section("when the reply of the first claim was lost in an outage")) {
    Setup.Platform->faults().LoseNextReplies = 1;
    Setup.Executor->after(100ms, [&] { Setup.Platform->faults().Mode = storage::fake_mode::Hang; });
    CPPUNIT_ASSERT_EQUAL(std::string("error"), Inserted(*Setup.A));
    Setup.Platform->faults().Mode = storage::fake_mode::Normal;
    CPPUNIT_ASSERT_EQUAL(std::string("inserted"), Inserted(*Setup.A));
    CPPUNIT_ASSERT_EQUAL(std::string("found"), Inserted(*Setup.A));
  }
  if (auto When = section("when the owner is asked for")) {
    std::string Owner;
    auto Find = [&] {
      Setup.A->find("k", [&](const runtime::result<storage::claim_owner> &Found) {
        Owner = Found ? Found.value().Authority.vm() : Found.error().message();
      });
      Setup.Executor->advance(1s);
      return Owner;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("not_found"), Find());
    Inserted(*Setup.B);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Find());
  }
});

} // namespace
