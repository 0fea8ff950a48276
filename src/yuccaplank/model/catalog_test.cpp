#include "yuccaplank/model/catalog.hpp"

#include "yuccaplank/testing/story.hpp"

using namespace yuccaplank;
using testing::section;
using testing::story;

namespace {

schema::service_revision revisionOf(const std::string &Service, std::uint64_t Revision,
                                    std::uint32_t Weight = 1) {
  schema::service_revision Result;
  Result.set_revision(Revision);
  Result.mutable_document()->set_service(Service);
  Result.mutable_document()->set_weight(Weight);
  return Result;
}

// Guards against a configuration that reverts, for example after the platform was restored from an old copy.
const story Merging("catalog: merging revisions", [] {
  auto Catalog = model::makeCatalog();
  CPPUNIT_ASSERT(!Catalog->ready());
  CPPUNIT_ASSERT(Catalog->merge(revisionOf("a", 5, 50)));
  CPPUNIT_ASSERT(Catalog->merge(revisionOf("b", 2)));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Catalog->version());
  if (auto When = section("when a higher revision arrives")) {
    auto Before = Catalog->find("a");
    CPPUNIT_ASSERT(Catalog->merge(revisionOf("a", 9, 90)));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{90}, Catalog->find("a")->document().weight());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, Catalog->version());
    // A job in progress keeps the document with which it began.
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, Before->document().weight());
  }
  if (auto When = section("when an equal or lower revision arrives")) {
    CPPUNIT_ASSERT(!Catalog->merge(revisionOf("a", 5, 51)));
    CPPUNIT_ASSERT(!Catalog->merge(revisionOf("a", 4, 40)));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, Catalog->find("a")->document().weight());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Catalog->version());
  }
  if (auto When = section("when a revision without a number arrives")) {
    CPPUNIT_ASSERT(!Catalog->merge(revisionOf("c", 0)));
    CPPUNIT_ASSERT(Catalog->find("c") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Catalog->all().size());
  }
  if (auto When = section("when two catalogs got the same revisions in different orders")) {
    auto Other = model::makeCatalog();
    Other->merge(revisionOf("b", 2));
    Other->merge(revisionOf("a", 3));
    Other->merge(revisionOf("a", 5, 50));
    CPPUNIT_ASSERT_EQUAL(Catalog->version(), Other->version());
  }
});

} // namespace
