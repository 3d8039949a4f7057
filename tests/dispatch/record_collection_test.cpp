#include "dispatch/record_collection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace comfreypass::dispatch;

class record_collection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_collection_test);
    CPPUNIT_TEST(olderRecordNeverReplacesANewerOne);
    CPPUNIT_TEST(removedRecordIsNotRestored);
    CPPUNIT_TEST(snapshotRemovesMissingRecords);
    CPPUNIT_TEST(oldSnapshotKeepsNewerRecords);
    CPPUNIT_TEST(laterPageDoesNotHideARemoval);
    CPPUNIT_TEST(revisionNeverCoversAMissingChange);
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

    // Guards against a change that stays missing: nodes lose updates of the source, fetch from each
    // other in any order and list the source, and no revision may cover a change that is missing.
    void revisionNeverCoversAMissingChange()
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            std::minstd_rand random(seed);
            record_collection source;
            std::vector<record_collection> nodes(6);
            for (std::uint64_t revision = 1; revision <= 200; ++revision) {
                const std::uint64_t previous = source.revision();
                const std::string key = "k" + std::to_string(random() % 12);
                const bool removal = random() % 3 == 0;
                if (removal)
                    source.remove(key, revision);
                else
                    source.write({key, revision, "v" + std::to_string(revision)});
                for (record_collection &each : nodes) {
                    if (random() % 2 == 0)
                        continue;
                    if (removal)
                        each.removeAfter(previous, key, revision);
                    else
                        each.writeAfter(previous, source.records().at(key));
                }
                const record_collection peer = nodes[random() % nodes.size()];
                const bool fromSource = random() % 10 == 0;
                fetch(nodes[random() % nodes.size()], fromSource ? source : peer);
                for (const record_collection &each : nodes)
                    assertComplete(each, source, seed);
            }
        }
    }

private:
    static void fetch(record_collection &target, const record_collection &from)
    {
        if (auto difference = from.changesSince(target.revision())) {
            target.merge(std::move(*difference), from.revision());
            return;
        }
        std::vector<published_record> records;
        for (const auto &[key, record] : from.records())
            records.push_back(record);
        target.replaceAll(std::move(records), from.revision());
        target.advance(from.revision());
    }

    static void assertComplete(const record_collection &node, const record_collection &source,
                               std::uint32_t seed)
    {
        const std::string message = "seed " + std::to_string(seed);
        for (const auto &[key, record] : source.records()) {
            if (record.revision <= node.revision())
                CPPUNIT_ASSERT_MESSAGE(message, node.records().contains(key)
                                                    && node.records().at(key) == record);
        }
        for (const auto &[key, record] : node.records()) {
            const bool current
                = record.revision > node.revision() || source.records().contains(key);
            const auto removed = source.changesSince(1);
            const bool laterRemoval = removed && removed->removed.contains(key)
                                      && removed->removed.at(key) > node.revision();
            CPPUNIT_ASSERT_MESSAGE(message, current || laterRemoval);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_collection_test);
