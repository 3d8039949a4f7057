#include "dispatch/crash_explanation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <set>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;

class crash_explanation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_explanation_test);
    CPPUNIT_TEST(commonSegmentsAreBlamedTogether);
    CPPUNIT_TEST(singleRequestIsNotBlamedOnItsSegments);
    CPPUNIT_TEST(twoCausesAreBlamedInsteadOfWhatTheyShare);
    CPPUNIT_TEST(threeKindsOfRequestsAreBlamedOnWhatTheyShare);
    CPPUNIT_TEST(requestBesideASegmentIsBlamedByItself);
    CPPUNIT_TEST(bystanderIsNotBlamed);
    CPPUNIT_TEST(answeredSegmentIsNoOtherCause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against blaming one of several segments that cannot be told apart.
    void commonSegmentsAreBlamedTogether()
    {
        for (int i = 0; i < 4; ++i)
            crash({request({first, deadly, subject})});
        for (const std::uint64_t each : {first, deadly, subject})
            CPPUNIT_ASSERT(
                signatures(each)
                == list{crash_signature({segment(first), segment(deadly), segment(subject)})});
    }

    // Guards against blaming the segments of a request that is sent again.
    void singleRequestIsNotBlamedOnItsSegments()
    {
        const std::vector<request_feature> repeated = request({first, subject});
        for (int i = 0; i < 4; ++i)
            crash({repeated});
        CPPUNIT_ASSERT(signatures(first).empty());
    }

    // Guards against blaming the first segment of all requests for two segments behind it.
    void twoCausesAreBlamedInsteadOfWhatTheyShare()
    {
        for (const std::uint64_t each : {deadly, deadly, other, other})
            crash({request({first, each})});
        CPPUNIT_ASSERT(
            (signatures(first)
             == list{{segment(first), segment(deadly)}, {segment(first), segment(other)}}));
    }

    // Guards against a deadly segment that is found for each of its companions anew.
    void threeKindsOfRequestsAreBlamedOnWhatTheyShare()
    {
        for (const std::uint64_t each : {subject, subject, subject + 1, subject + 2})
            crash({request({first, deadly, each})});
        CPPUNIT_ASSERT((signatures(deadly) == list{{segment(first), segment(deadly)}}));
    }

    // Guards against refusing what a deadly request shares with a deadly segment.
    void requestBesideASegmentIsBlamedByItself()
    {
        const std::vector<request_feature> repeated = request({first, subject});
        crash({repeated});
        crash({repeated});
        crash({request({first, deadly})});
        crash({request({first, deadly})});
        const list found = signatures(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT(found.at(0) == crash_signature{repeated.back()}
                       || found.at(1) == crash_signature{repeated.back()});
    }

    // Guards against blaming a request that ran beside the deadly ones.
    void bystanderIsNotBlamed()
    {
        m_answered = {segment(first), segment(subject)};
        for (int i = 0; i < 4; ++i)
            crash({request({first, subject}), request({first, deadly})});
        CPPUNIT_ASSERT((signatures(first) == list{{segment(first), segment(deadly)}}));
    }

    // Guards against a deadly segment that is taken for two causes, one of which was answered.
    void answeredSegmentIsNoOtherCause()
    {
        m_answered = {segment(other)};
        for (const std::uint64_t each : {subject, other, other, subject})
            crash({request({deadly, each})});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, signatures(deadly).size());
        m_answered = {segment(other), segment(subject)};
        CPPUNIT_ASSERT(signatures(deadly) == list{crash_signature{segment(deadly)}});
    }

private:
    using list = std::vector<crash_signature>;

    static constexpr std::uint64_t first = 1;
    static constexpr std::uint64_t deadly = 9;
    static constexpr std::uint64_t other = 10;
    static constexpr std::uint64_t subject = 20;

    static request_feature segment(std::uint64_t key) { return {feature_kind::Segment, key}; }

    std::vector<request_feature> request(std::initializer_list<std::uint64_t> segments)
    {
        std::vector<request_feature> features;
        for (const std::uint64_t each : segments)
            features.push_back(segment(each));
        features.push_back({feature_kind::Request, ++m_lastDigest});
        return features;
    }

    /** Adds a crash that any of these requests may have caused. */
    void crash(const std::vector<std::vector<request_feature>> &requests)
    {
        crash_suspects &suspects = m_crashes.emplace_back();
        for (const std::vector<request_feature> &each : requests)
            suspects.emplace_back(m_requests.emplace_back(each));
    }

    list signatures(std::uint64_t key) const
    {
        const crash_explanation explanation(
            m_crashes, [this](const request_feature &each) { return m_answered.contains(each); });
        return explanation.signaturesFor(segment(key));
    }

    std::uint64_t m_lastDigest = 0;
    std::deque<std::vector<request_feature>> m_requests;
    std::vector<crash_suspects> m_crashes;
    std::set<request_feature> m_answered;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_explanation_test);
