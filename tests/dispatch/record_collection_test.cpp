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
    CPPUNIT_TEST(lateUpdateDoesNotBringBackARemovedRecord);
    CPPUNIT_TEST(changeAfterARestorationIsNotTakenForAKnownOne);
    CPPUNIT_TEST(lostEraIsNotBroughtBack);
    CPPUNIT_TEST(updateOfALaterEraDoesNotHideTheRestoredRecords);
    CPPUNIT_TEST(lateRemovalOfALostEraKeepsARewrittenRecord);
    CPPUNIT_TEST(differenceNeverSpansEras);
    CPPUNIT_TEST(secondRestorationIsFollowed);
    CPPUNIT_TEST(restorationWithLostUpdatesLeavesNoNodeBehind);
    CPPUNIT_TEST(revisionTextIsParsed);
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
        CPPUNIT_ASSERT(records.revision() == 5);
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
        CPPUNIT_ASSERT(records.revision() == 7);
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
                const record_revision previous = source.revision();
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
                    assertComplete(each, source, 1, seed);
            }
        }
    }

    // Guards against an ended evacuation that comes back with an update or a difference which
    // arrives after a snapshot without it.
    void lateUpdateDoesNotBringBackARemovedRecord()
    {
        record_collection records;
        records.replaceAll({{"a", 60, "x"}}, 60);
        CPPUNIT_ASSERT(records.writeAfter(40, {"b", 41, "x"}).empty());
        CPPUNIT_ASSERT(records.merge({{{"b", 41, "x"}}, {}}, 45).empty());
        CPPUNIT_ASSERT(records.replaceAll({{"b", 41, "x"}}, 45).empty());
        CPPUNIT_ASSERT(records.write({"b", 41, "x"}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.records().size());
    }

    // Guards against ignoring a change because the restored source reuses its revision.
    void changeAfterARestorationIsNotTakenForAKnownOne()
    {
        record_collection records = collectionAt(1, {{"a", {1, 16}, "1"}, {"a", {1, 18}, "2"}});
        const record_changes restored = records.replaceAll({{"a", {2, 16}, "1"}}, {2, 17});
        CPPUNIT_ASSERT(restored.restored);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), records.records().at("a").value);
        CPPUNIT_ASSERT(!records.write({"a", {2, 18}, "3"}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), records.records().at("a").value);
        CPPUNIT_ASSERT(records.revision() == record_revision(2, 18));
    }

    // Guards against records of a lost era that a peer which has not noticed the restoration sends.
    void lostEraIsNotBroughtBack()
    {
        record_collection records = collectionAt(2, {{"a", {2, 5}, "x"}});
        CPPUNIT_ASSERT(records.write({"a", {1, 30}, "y"}).empty());
        CPPUNIT_ASSERT(records.write({"b", {1, 30}, "y"}).empty());
        CPPUNIT_ASSERT(records.writeAfter({1, 29}, {"b", {1, 30}, "y"}).empty());
        CPPUNIT_ASSERT(records.remove("a", {1, 30}).empty());
        CPPUNIT_ASSERT(records.replaceAll({{"b", {1, 30}, "y"}}, {1, 31}).empty());
        CPPUNIT_ASSERT(records.merge({{{"b", {1, 30}, "y"}}, {{"a", {1, 31}}}}, {1, 31}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.records().size());
        CPPUNIT_ASSERT(records.revision() == record_revision(2, 5));
        CPPUNIT_ASSERT(!records.write({"b", {2, 6}, "z"}).empty());
    }

    // Guards against a node that looks up to date in the new era with records of the old one.
    void updateOfALaterEraDoesNotHideTheRestoredRecords()
    {
        record_collection records = collectionAt(1, {{"a", {1, 5}, "x"}, {"b", {1, 9}, "x"}});
        CPPUNIT_ASSERT(!records.writeAfter({2, 6}, {"c", {2, 7}, "y"}).empty());
        CPPUNIT_ASSERT(!records.removeAfter({2, 7}, "a", {2, 8}).empty());
        CPPUNIT_ASSERT(!records.writeAfter({1, 9}, {"d", {2, 9}, "y"}).empty());
        CPPUNIT_ASSERT(records.revision() == record_revision(1, 9));
        CPPUNIT_ASSERT(!records.writeAfter({1, 9}, {"e", {1, 10}, "x"}).empty());
        records.replaceAll({{"b", {2, 4}, "x"}}, {2, 6});
        CPPUNIT_ASSERT(!records.records().contains("a") && !records.records().contains("e"));
        CPPUNIT_ASSERT(records.records().contains("b") && records.records().contains("c"));
        CPPUNIT_ASSERT(records.write({"a", {2, 4}, "x"}).empty());
    }

    // Guards against an entry that vanishes because its removal before the restoration arrives
    // after it was written again.
    void lateRemovalOfALostEraKeepsARewrittenRecord()
    {
        record_collection records = collectionAt(1, {{"a", {1, 5}, "x"}});
        records.writeAfter({2, 4}, {"a", {2, 5}, "y"});
        CPPUNIT_ASSERT(records.removeAfter({1, 5}, "a", {1, 9}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("y"), records.records().at("a").value);
        CPPUNIT_ASSERT(records.remove("b", {1, 10}).empty());
        records.replaceAll({{"a", {2, 5}, "y"}, {"b", {2, 3}, "y"}}, {2, 5});
        CPPUNIT_ASSERT(records.records().contains("b"));
    }

    // Guards against a peer of the old era that gets the changes after its revision only, although
    // earlier ones were undone.
    void differenceNeverSpansEras()
    {
        record_collection records = collectionAt(1, {{"a", {1, 5}, "x"}});
        records.replaceAll({{"a", {2, 3}, "w"}}, {2, 4});
        records.write({"b", {2, 9}, "x"});
        CPPUNIT_ASSERT(!records.changesSince({1, 5}) && !records.changesSince({1, 50}));
        CPPUNIT_ASSERT(!records.changesSince({2, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.changesSince({2, 4})->written.size());
    }

    // Guards against counting on eras that rise one by one, or on a collection that has records.
    void secondRestorationIsFollowed()
    {
        record_collection records = collectionAt(1, {{"a", {1, 30}, "x"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.replaceAll({}, {3, 8}).removed.size());
        CPPUNIT_ASSERT(records.replaceAll({{"a", {2, 20}, "x"}}, {2, 20}).empty());
        CPPUNIT_ASSERT(records.replaceAll({{"a", {4, 2}, "x"}}, {4, 2}).restored);
        CPPUNIT_ASSERT(records.revision() == record_revision(4, 2));
        record_collection fresh;
        CPPUNIT_ASSERT(!fresh.replaceAll({{"a", {4, 2}, "x"}}, {4, 2}).restored);
    }

    // Guards against a change that stays missing after a restoration: nodes lose updates, get
    // others late, also of an earlier era, and fetch from nodes that have not noticed it.
    void restorationWithLostUpdatesLeavesNoNodeBehind()
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            std::minstd_rand random(seed);
            record_collection source = collectionAt(1, {});
            record_collection copy = source;
            record_revision eraStart(1, 1);
            std::vector<record_collection> nodes(6);
            std::vector<update> sent;
            for (std::uint64_t step = 1; step <= 300; ++step) {
                if (step % 100 == 90)
                    copy = source;
                if (step % 100 == 0) {
                    source = restored(copy, source.revision().era + 1);
                    eraStart = source.revision();
                }
                const update change = randomChange(source, step, random);
                sent.push_back(change);
                for (record_collection &each : nodes) {
                    if (random() % 2 == 0)
                        change.deliver(each);
                    sent[random() % sent.size()].deliver(each);
                }
                const record_collection peer = nodes[random() % nodes.size()];
                const bool fromSource = random() % 10 == 0;
                fetch(nodes[random() % nodes.size()], fromSource ? source : peer);
                for (const record_collection &each : nodes) {
                    if (each.revision().era == source.revision().era)
                        assertComplete(each, source, eraStart, seed);
                }
            }
            for (record_collection &each : nodes) {
                fetch(each, source);
                CPPUNIT_ASSERT(each.records() == source.records());
            }
        }
    }

    // Guards against a node that asks a peer for the wrong changes.
    void revisionTextIsParsed()
    {
        for (const record_revision each : {record_revision(), record_revision(12), {3, 12}, {3, 0}})
            CPPUNIT_ASSERT(record_revision::parse(each.text()) == each);
        for (const std::string_view text : {"", "@3", "12@", "x", "12@x", "12@3@4", "-1"})
            CPPUNIT_ASSERT(!record_revision::parse(text));
    }

private:
    /** A change that a reader of the source forwards to its peers. */
    struct update
    {
        record_revision previous;
        published_record record;
        bool removed = false;

        void deliver(record_collection &target) const
        {
            if (removed)
                target.removeAfter(previous, record.key, record.revision);
            else
                target.writeAfter(previous, record);
        }
    };

    static update randomChange(record_collection &source, std::uint64_t step,
                               std::minstd_rand &random)
    {
        update change{.previous = source.revision(), .record = {}, .removed = random() % 3 == 0};
        change.record = {"k" + std::to_string(random() % 12),
                         {change.previous.era, change.previous.number + 1},
                         "v" + std::to_string(step)};
        if (change.removed)
            source.remove(change.record.key, change.record.revision);
        else
            source.write(change.record);
        return change;
    }

    /** Returns a collection with a snapshot of an era and then the changes of it. */
    static record_collection collectionAt(std::uint64_t era,
                                          const std::vector<published_record> &changes)
    {
        record_collection result;
        result.replaceAll({}, {era, 0});
        for (const published_record &each : changes)
            result.write(each);
        return result;
    }

    static record_collection restored(const record_collection &copy, std::uint64_t era)
    {
        std::vector<published_record> records;
        for (const auto &[key, record] : copy.records()) {
            records.push_back(record);
            records.back().revision.era = era;
        }
        record_collection result;
        const record_revision revision(era, copy.revision().number);
        result.replaceAll(std::move(records), revision);
        result.advance(revision);
        return result;
    }

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

    /** All removals after `start` must be known to the source. */
    static void assertComplete(const record_collection &node, const record_collection &source,
                               record_revision start, std::uint32_t seed)
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
            const auto removed = source.changesSince(start);
            const bool laterRemoval = removed && removed->removed.contains(key)
                                      && removed->removed.at(key) > node.revision();
            CPPUNIT_ASSERT_MESSAGE(message, current || laterRemoval);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_collection_test);
