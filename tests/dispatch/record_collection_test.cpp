#include "dispatch/record_collection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass::dispatch;

class record_collection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_collection_test);
    CPPUNIT_TEST(olderRecordNeverReplacesANewerOne);
    CPPUNIT_TEST(removedRecordIsNotRestored);
    CPPUNIT_TEST(snapshotRemovesMissingRecords);
    CPPUNIT_TEST(oldSnapshotKeepsNewerRecords);
    CPPUNIT_TEST(laterPageDoesNotHideARemoval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a configuration that is reverted by a peer with an older revision.
    void olderRecordNeverReplacesANewerOne()
    {
        record_collection records;
        CPPUNIT_ASSERT(!records.write({"a", 5, "new"}).empty());
        CPPUNIT_ASSERT(records.write({"a", 4, "old"}).empty());
        CPPUNIT_ASSERT(records.write({"a", 5, "new"}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), records.records().at("a").value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, records.revision());
    }

    // Guards against an ended evacuation that a peer with an older revision restores.
    void removedRecordIsNotRestored()
    {
        record_collection records;
        records.write({"a", 5, "x"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.remove("a", 7).removed.size());
        CPPUNIT_ASSERT(records.write({"a", 5, "x"}).empty());
        CPPUNIT_ASSERT(!records.write({"a", 8, "y"}).empty());
        CPPUNIT_ASSERT(records.remove("a", 7).empty());
    }

    // Guards against engines that stay listed if they were removed while the watch was interrupted.
    void snapshotRemovesMissingRecords()
    {
        record_collection records;
        records.write({"a", 1, "x"});
        records.write({"b", 2, "x"});
        const record_changes changes = records.replaceAll({{"b", 2, "x"}, {"c", 4, "x"}}, 6);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), changes.removed.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), changes.written.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.records().size());
    }

    // Guards against a slow list response that removes records sent by a peer in the meantime.
    void oldSnapshotKeepsNewerRecords()
    {
        record_collection records;
        records.write({"a", 9, "x"});
        CPPUNIT_ASSERT(records.replaceAll({}, 8).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.records().size());
    }

    // Guards against passing on a revision whose changes are not all known, because a record was
    // written while the pages of a list were read.
    void laterPageDoesNotHideARemoval()
    {
        record_collection records;
        records.replaceAll({{"a", 2, "x"}, {"z", 9, "x"}}, 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, records.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.records().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_collection_test);
