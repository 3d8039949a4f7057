#include "membership/sheet_store.h"
#include "membership/virtual_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using bench::virtual_fleet;
using membership::sheet_store;
using status = sheet_store::offer_status;

class sheet_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sheet_store_test);
    CPPUNIT_TEST(neverRevertsToAnOlderRevision);
    CPPUNIT_TEST(laterServiceIndexWinsAtEqualRevision);
    CPPUNIT_TEST(invalidSheetKeepsTheCurrentOne);
    CPPUNIT_TEST(verifiesTheAnnouncedKey);
    CPPUNIT_TEST(patchedDocumentHasTheSameKey);
    CPPUNIT_TEST(previousTextsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stale service that reverts the sheet and so puts a domain back in service.
    void neverRevertsToAnOlderRevision()
    {
        sheet_store store(virtual_fleet::parseSheet);
        CPPUNIT_ASSERT(store.offer(text(2, 1), 5, {}).status == status::Accepted);
        const auto key = store.key();
        const auto older = store.offer(text(1, 0), 9, {});
        CPPUNIT_ASSERT(older.status == status::Older && !older.adopted);
        CPPUNIT_ASSERT(store.key() == key);
        CPPUNIT_ASSERT(store.offer(text(2, 1), 5, {}).status == status::Same);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.rejected());
        const auto again = store.offer(text(2, 1), 10, {});
        CPPUNIT_ASSERT(again.status == status::Same && again.adopted && store.key() > key);
    }

    // Guards against different sheets of the same revision in force on different nodes.
    void laterServiceIndexWinsAtEqualRevision()
    {
        sheet_store forward(virtual_fleet::parseSheet);
        sheet_store backward(virtual_fleet::parseSheet);
        forward.offer(text(2, 0), 5, {});
        CPPUNIT_ASSERT(forward.offer(text(2, 1), 6, {}).adopted);
        backward.offer(text(2, 1), 6, {});
        const auto lost = backward.offer(text(2, 0), 5, {});
        CPPUNIT_ASSERT(lost.status == status::Conflict && !lost.adopted);
        CPPUNIT_ASSERT(forward.key() == backward.key());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), forward.conflicts());
    }

    // Guards against an invalid sheet that replaces the valid one.
    void invalidSheetKeepsTheCurrentOne()
    {
        sheet_store store(virtual_fleet::parseSheet);
        store.offer(text(1, 0), 1, {});
        const auto key = store.key();
        for (const char *bad : {"", "{", "{}", "[1]", "{\"revision\": \"9\"}"}) {
            const auto result = store.offer(bad, 2, {});
            CPPUNIT_ASSERT(result.status == status::Invalid && !result.reason.detail.empty());
        }
        CPPUNIT_ASSERT(store.key() == key);
    }

    // Guards against a corrupted document or patch that is put in force.
    void verifiesTheAnnouncedKey()
    {
        sheet_store store(virtual_fleet::parseSheet);
        store.offer(text(1, 0), 1, {});
        sheet_store other(virtual_fleet::parseSheet);
        other.offer(text(2, 1), 2, {});
        CPPUNIT_ASSERT(!store.offerAnnounced(text(2, 2), other.key(), {}).adopted);
        CPPUNIT_ASSERT(!store.offerPatch("{\"revision\":2}", other.key(), {}).adopted);
        CPPUNIT_ASSERT(store.offerAnnounced(text(2, 1), other.key(), {}).adopted);
    }

    // Guards against patches that do not produce the announced sheet at the receiver.
    void patchedDocumentHasTheSameKey()
    {
        sheet_store ahead(virtual_fleet::parseSheet);
        sheet_store behind(virtual_fleet::parseSheet);
        ahead.offer(text(1, 0), 1, {});
        behind.offer(text(1, 0), 1, {});
        ahead.offer(text(2, 1), 2, {});
        ahead.offer(text(3, 2), 3, {});
        const auto patch = ahead.patchFrom(behind.key());
        CPPUNIT_ASSERT(patch && patch->size() < 200);
        CPPUNIT_ASSERT(behind.offerPatch(*patch, ahead.key(), {}).adopted);
        CPPUNIT_ASSERT(ahead.key() == behind.key());
        CPPUNIT_ASSERT(!ahead.patchFrom({9, 9, 9}));
    }

    // Guards against memory that grows with each published sheet.
    void previousTextsAreBounded()
    {
        sheet_store store(virtual_fleet::parseSheet);
        std::vector<sheet::sheet_key> keys;
        for (std::uint64_t revision = 1; revision <= 12; ++revision) {
            store.offer(text(revision, 0), revision, {});
            keys.push_back(store.key());
        }
        CPPUNIT_ASSERT(!store.patchFrom(keys[2]));
        CPPUNIT_ASSERT(store.patchFrom(keys[3]));
    }

private:
    static std::string text(std::uint64_t revision, std::size_t out)
    {
        return virtual_fleet::makeSheet(revision, 4, {out}, 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sheet_store_test);
