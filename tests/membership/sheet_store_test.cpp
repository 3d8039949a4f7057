#include "membership/sheet_store.h"
#include "membership/virtual_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using bench::virtual_fleet;
using membership::sheet_store;
using verdict = sheet_store::offer_verdict;

class sheet_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sheet_store_test);
    CPPUNIT_TEST(neverReverts);
    CPPUNIT_TEST(laterServiceIndexWinsAtEqualRevision);
    CPPUNIT_TEST(invalidLeavesTheOneInForce);
    CPPUNIT_TEST(announcedKeyIsChecked);
    CPPUNIT_TEST(patchesLeadToTheSameKey);
    CPPUNIT_TEST(oldTextsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stale service that brings a domain back into service.
    void neverReverts()
    {
        sheet_store store(virtual_fleet::parseSheet);
        CPPUNIT_ASSERT(store.offer(text(2, 1), 5, {}).verdict == verdict::Accepted);
        const auto key = store.key();
        const auto older = store.offer(text(1, 0), 9, {});
        CPPUNIT_ASSERT(older.verdict == verdict::Older && !older.taken);
        CPPUNIT_ASSERT(store.key() == key);
        CPPUNIT_ASSERT(store.offer(text(2, 1), 5, {}).verdict == verdict::Same);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.rejected());
        const auto again = store.offer(text(2, 1), 10, {});
        CPPUNIT_ASSERT(again.verdict == verdict::Same && again.taken && store.key() > key);
    }

    // Guards against two operators' sheets being in force on different nodes.
    void laterServiceIndexWinsAtEqualRevision()
    {
        sheet_store forward(virtual_fleet::parseSheet);
        sheet_store backward(virtual_fleet::parseSheet);
        forward.offer(text(2, 0), 5, {});
        CPPUNIT_ASSERT(forward.offer(text(2, 1), 6, {}).taken);
        backward.offer(text(2, 1), 6, {});
        const auto lost = backward.offer(text(2, 0), 5, {});
        CPPUNIT_ASSERT(lost.verdict == verdict::Conflict && !lost.taken);
        CPPUNIT_ASSERT(forward.key() == backward.key());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), forward.conflicts());
    }

    // Guards against a typing error of an operator that stops the fleet.
    void invalidLeavesTheOneInForce()
    {
        sheet_store store(virtual_fleet::parseSheet);
        store.offer(text(1, 0), 1, {});
        const auto key = store.key();
        for (const char *bad : {"", "{", "{}", "[1]", "{\"revision\": \"9\"}"}) {
            const auto result = store.offer(bad, 2, {});
            CPPUNIT_ASSERT(result.verdict == verdict::Invalid && !result.reason.detail.empty());
        }
        CPPUNIT_ASSERT(store.key() == key);
    }

    // Guards against a damaged transfer that is put in force.
    void announcedKeyIsChecked()
    {
        sheet_store store(virtual_fleet::parseSheet);
        store.offer(text(1, 0), 1, {});
        sheet_store other(virtual_fleet::parseSheet);
        other.offer(text(2, 1), 2, {});
        CPPUNIT_ASSERT(!store.take(text(2, 2), other.key(), {}).taken);
        CPPUNIT_ASSERT(!store.takePatch("{\"revision\":2}", other.key(), {}).taken);
        CPPUNIT_ASSERT(store.take(text(2, 1), other.key(), {}).taken);
    }

    // Guards against patches that neighbours cannot use.
    void patchesLeadToTheSameKey()
    {
        sheet_store ahead(virtual_fleet::parseSheet);
        sheet_store behind(virtual_fleet::parseSheet);
        ahead.offer(text(1, 0), 1, {});
        behind.offer(text(1, 0), 1, {});
        ahead.offer(text(2, 1), 2, {});
        ahead.offer(text(3, 2), 3, {});
        const auto patch = ahead.patchFrom(behind.key());
        CPPUNIT_ASSERT(patch && patch->size() < 200);
        CPPUNIT_ASSERT(behind.takePatch(*patch, ahead.key(), {}).taken);
        CPPUNIT_ASSERT(ahead.key() == behind.key());
        CPPUNIT_ASSERT(!ahead.patchFrom({9, 9, 9}));
    }

    // Guards against memory that grows with each change of the day.
    void oldTextsAreBounded()
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
