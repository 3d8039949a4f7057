#include "dispatch/request_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class request_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_quarantine_test);
    CPPUNIT_TEST(repeatedCrashesQuarantineTheSegment);
    CPPUNIT_TEST(companionsOfACrashingSegmentStayInService);
    CPPUNIT_TEST(otherCrashesDoNotHideTheSegment);
    CPPUNIT_TEST(rareRequestsAreFound);
    CPPUNIT_TEST(contradictoryOrdersOfSegmentsAreHandled);
    CPPUNIT_TEST(soundRequestsAtTheSameEngineAreNotBlamed);
    CPPUNIT_TEST(lostResponseIsNoCrash);
    CPPUNIT_TEST(oneOutageOfManyEnginesProvesNothing);
    CPPUNIT_TEST(oneFailingEngineProvesNothing);
    CPPUNIT_TEST(answeredSegmentIsCleared);
    CPPUNIT_TEST(answerAtAPeerClearsTheSegment);
    CPPUNIT_TEST(crashesAtSeveralNodesAddUp);
    CPPUNIT_TEST(restartedNodeLearnsTheQuarantine);
    CPPUNIT_TEST(repeatedReportCountsOnce);
    CPPUNIT_TEST(quarantineEnds);
    CPPUNIT_TEST(randomEngineFailuresQuarantineNothing);
    CPPUNIT_TEST(repeatedRequestIsQuarantinedAfterItsThirdCrash);
    CPPUNIT_TEST(repeatsWithinMillisecondsCount);
    CPPUNIT_TEST(repeatedRequestDoesNotQuarantineItsSegments);
    CPPUNIT_TEST(segmentOfRepeatedRequestsIsFound);
    CPPUNIT_TEST(repeatAtOnceCountsAgainstTheSegment);
    CPPUNIT_TEST(otherRequestsAtTheCrashedEnginesAreCleared);
    CPPUNIT_TEST(soundRequestWithTwoCrashesIsServed);
    CPPUNIT_TEST(equalSoundRequestsAreServed);
    CPPUNIT_TEST(failingEngineDoesNotHideTheSegment);
    CPPUNIT_TEST(severalCausesAtOnceAreFound);
    CPPUNIT_TEST(onlyEngineOfAnUpstreamIsProtected);
    CPPUNIT_TEST(crashesMinutesApartAreConnected);
    CPPUNIT_TEST(trialCostsOneEngine);
    CPPUNIT_TEST(answeredTrialEndsTheQuarantine);
    CPPUNIT_TEST(nodesTryOneAfterAnother);
    CPPUNIT_TEST(equalRequestsInOneOutageProveNothing);
    CPPUNIT_TEST(delayedReportCountsOnce);
    CPPUNIT_TEST(bystandersOfARepeatedRequestDoNotQuarantineItsSegments);
    CPPUNIT_TEST(unconfirmedTrialDoesNotReleaseTheSegment);
    CPPUNIT_TEST(segmentAnsweredBetweenManyOtherRequestsStaysInService);
    CPPUNIT_TEST(clearedSegmentDoesNotDuplicateTheCrash);
    CPPUNIT_TEST(deadlyRequestIsTriedThreeTimesAtMost);
    CPPUNIT_TEST(outageThatTakesHalfASecondProvesNothing);
    CPPUNIT_TEST(moreSpecificCompanionDoesNotDelayTheSegment);
    CPPUNIT_TEST(reportOfAnImpossibleRemainderIsBounded);
    CPPUNIT_TEST(crashesOfNodesWithRelatedSeedsAreDistinct);
    CPPUNIT_TEST(requestRarerThanTheQuarantineCostsOneEngine);
    CPPUNIT_TEST(requestAndPartThatCrashEnginesDoNotQuarantineWhatTheyShare);
    CPPUNIT_TEST(repeatedRequestAtOneEngineOfSeveralIsFound);
    CPPUNIT_TEST(reportDelayedAtOneNodeConvictsNothingAtOthers);
    CPPUNIT_TEST(trialThatDidNotRunDoesNotRefuseTheSegment);
    CPPUNIT_TEST(reportOmitsWhatWasAnsweredBeforeTheConfirmation);
    CPPUNIT_TEST(trialIsKnownToTheFleet);
    CPPUNIT_TEST(soundRequestsAreServedWhereverTheDeadlySegmentStands);
    CPPUNIT_TEST(deadlySegmentIsFoundAmongChangingCompanions);
    CPPUNIT_TEST(requestsOfTwoKindsWithADeadlySegmentAreRefused);
    CPPUNIT_TEST(otherCrashOfASoundRequestRefusesNoOther);
    CPPUNIT_TEST(restartedNodeServesWhatSharesSegments);
    CPPUNIT_TEST(segmentAnsweredAtAPeerLeavesTheSignature);
    CPPUNIT_TEST(failedTrialRefusesNoSoundRequest);
    CPPUNIT_TEST(onlyEngineServesSoundRequests);
    CPPUNIT_TEST(endedResponseOfARunningEngineClears);
    CPPUNIT_TEST(endedResponseOfACrashedEngineCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests of one kind that crash engines one after the other.
    void repeatedCrashesQuarantineTheSegment()
    {
        for (engine_key engine = 1; engine <= 4; ++engine) {
            CPPUNIT_ASSERT(!isQuarantined(poison));
            crash(m_node, engine, request({shared, poison}));
        }
        CPPUNIT_ASSERT(m_node.hasNews());
        CPPUNIT_ASSERT((crash_signature{segment(shared), segment(poison)})
                       == m_node.takeNews().quarantined.at(0).signature);
        checkPoisonIsFound();
    }

    // Guards against refusing sound requests that share other segments with those that crash.
    void companionsOfACrashingSegmentStayInService()
    {
        for (engine_key engine = 1; engine <= 6; ++engine) {
            crash(m_node, engine, request({shared, poison}));
            CPPUNIT_ASSERT(!isQuarantined(shared));
        }
        checkPoisonIsFound();
    }

    // Guards against missing the segment while engines also crash for another reason.
    void otherCrashesDoNotHideTheSegment()
    {
        for (engine_key engine = 1; engine <= 5; ++engine) {
            crash(m_node, engine, request({shared, poison}));
            if (engine % 2 == 0)
                crash(m_node, engine + 10, request({shared, 100UL + engine}));
            m_node.onAnswered(request({shared}), m_now);
        }
        CPPUNIT_ASSERT(isQuarantined(poison));
        CPPUNIT_ASSERT(!isQuarantined(shared));
    }

    // Guards against a segment that crashes an engine only every few seconds, without end.
    void rareRequestsAreFound()
    {
        for (engine_key engine = 1; engine <= 4; ++engine) {
            crash(m_node, engine, request({shared, poison}));
            m_node.onAnswered(request({shared}), m_now);
            m_now += 10s;
        }
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against refusing a whole class of requests, none of which is answered while engines
    // crash so fast that hardly any is left.
    void soundRequestsAtTheSameEngineAreNotBlamed()
    {
        for (engine_key engine = 1; engine <= 12; ++engine) {
            m_node.onBroken(engine, request({shared, 100UL + engine}), false, m_now);
            m_node.onBroken(engine, request({shared}), false, m_now);
            crash(m_node, engine, request({shared, poison}));
            m_node.onBroken(engine, request({shared}), false, m_now);
            CPPUNIT_ASSERT(!isQuarantined(shared));
        }
        checkPoisonIsFound();
    }

    // Guards against an endless search if callers send the same segments in different orders.
    void contradictoryOrdersOfSegmentsAreHandled()
    {
        for (engine_key engine = 1; engine <= 6; ++engine)
            crash(m_node, engine,
                  engine % 2 == 0 ? request({shared, poison}) : request({poison, shared}));
        CPPUNIT_ASSERT(isRefused({poison, shared}));
        checkPoisonIsFound();
    }

    // Guards against taking lost responses and reset connections for crashes.
    void lostResponseIsNoCrash()
    {
        for (engine_key engine = 1; engine <= 9; ++engine) {
            m_node.onBroken(engine, request({poison}), false, m_now);
            m_now += request_quarantine::confirmationWindow + 1ms;
            m_node.onEngineDown(engine, m_now);
        }
        CPPUNIT_ASSERT(!isQuarantined(poison));
        CPPUNIT_ASSERT(!m_node.hasNews());
    }

    // Guards against refusing all requests after a power loss of a failure domain.
    void oneOutageOfManyEnginesProvesNothing()
    {
        for (engine_key engine = 1; engine <= 40; ++engine) {
            m_node.onBroken(engine, request({shared, engine + 100UL}), false, m_now);
            m_node.onEngineDown(engine, m_now);
            m_now += 5ms;
        }
        CPPUNIT_ASSERT(!isQuarantined(shared));
    }

    // Guards against blaming the requests for an engine that goes down and up by itself.
    void oneFailingEngineProvesNothing()
    {
        for (int i = 0; i < 6; ++i)
            crash(m_node, 1, request({poison}));
        CPPUNIT_ASSERT(!isQuarantined(poison));
    }

    // Guards against a caller who gets other requests refused, and against a false suspicion.
    void answeredSegmentIsCleared()
    {
        for (engine_key engine = 1; engine <= 9; ++engine) {
            crash(m_node, engine, request({shared, poison}));
            m_node.onAnswered(request({shared, poison}), m_now);
            m_now += 1ms;
        }
        CPPUNIT_ASSERT(!isQuarantined(poison) && !isQuarantined(shared));
        quarantinePoison();
        m_node.onAnswered(request({poison}), m_now);
        CPPUNIT_ASSERT(!isQuarantined(poison));
        CPPUNIT_ASSERT(segment(poison) == m_node.takeNews().answered.at(0));
    }

    // Guards against a node that refuses requests which other nodes serve.
    void answerAtAPeerClearsTheSegment()
    {
        request_quarantine peer(1);
        quarantinePoison();
        m_now += 1s;
        peer.onAnswered(request({poison}), m_now);
        const quarantine_report correction = peer.onPeerReport(m_node.summary(m_now), m_now);
        CPPUNIT_ASSERT(!peer.hasNews());
        CPPUNIT_ASSERT(segment(poison) == correction.answered.at(0));
        m_node.onPeerReport(correction, m_now);
        CPPUNIT_ASSERT(!isQuarantined(poison));
    }

    // Guards against a fleet in which no node sees enough crashes.
    void crashesAtSeveralNodesAddUp()
    {
        std::vector<request_quarantine> nodes(5, request_quarantine(1));
        for (engine_key engine = 1; engine <= 4; ++engine) {
            request_quarantine &witness = nodes[engine];
            crash(witness, engine, request({shared, poison}));
            const quarantine_report news = witness.takeNews();
            for (request_quarantine &each : nodes) {
                if (&each != &witness)
                    each.onPeerReport(news, m_now);
            }
        }
        for (request_quarantine &each : nodes) {
            CPPUNIT_ASSERT(each.find(request({shared, poison}), m_now));
            // Only the witness of the last crash reports the quarantine.
            CPPUNIT_ASSERT(!each.hasNews());
            CPPUNIT_ASSERT(!each.find(request({shared}), m_now));
            each.onAnswered(request({shared}), m_now);
            CPPUNIT_ASSERT(each.find(request({poison}), m_now));
        }
    }

    // Guards against crashes that begin again after a restart of a node.
    void restartedNodeLearnsTheQuarantine()
    {
        quarantinePoison();
        m_now += 10s;
        request_quarantine restarted(1);
        restarted.onPeerReport(m_node.summary(m_now), m_now);
        const auto found = restarted.find(request({shared, poison}), m_now);
        CPPUNIT_ASSERT(found && found->signature == crash_signature{segment(poison)});
        CPPUNIT_ASSERT(found->remaining <= request_quarantine::quarantineTime - 10s);
        CPPUNIT_ASSERT(!restarted.hasNews());
    }

    // Guards against counting a crash again each time that it is reported.
    void repeatedReportCountsOnce()
    {
        request_quarantine peer(1);
        crash(peer, 1, request({poison}));
        for (int i = 0; i < 10; ++i) {
            m_node.onPeerReport(peer.summary(m_now), m_now);
            m_now += 300ms;
        }
        crash(m_node, 2, request({poison}));
        crash(m_node, 3, request({poison}));
        CPPUNIT_ASSERT(!isQuarantined(poison));
    }

    // Guards against refusing a segment forever, and against unbounded memory.
    void quarantineEnds()
    {
        quarantinePoison();
        m_now += request_quarantine::quarantineTime;
        CPPUNIT_ASSERT(!isQuarantined(poison));
        CPPUNIT_ASSERT(m_node.summary(m_now).empty());
    }

    // Guards against refusing sound requests while engines fail at random: each second one of 20
    // engines ends with three requests; 200 requests per second with 100 segments.
    void randomEngineFailuresQuarantineNothing()
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            std::minstd_rand random(seed);
            request_quarantine node(1);
            for (int i = 0; i < 6'000; ++i) {
                m_now += 5ms;
                const features segments = request({shared, 100 + random() % 100});
                const auto failed = static_cast<engine_key>(i / 200 % 20);
                if (i % 200 < 3) {
                    node.onBroken(failed, segments, false, m_now);
                    node.onEngineDown(failed, m_now);
                } else if (random() % 20 != failed) {
                    node.onAnswered(segments, m_now);
                }
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !node.find(segments, m_now));
            }
        }
    }

    // Guards against a request that is sent again and again and crashes one engine each time.
    void repeatedRequestIsQuarantinedAfterItsThirdCrash()
    {
        const features deadly = request({});
        for (engine_key engine = 1; engine <= 3; ++engine) {
            CPPUNIT_ASSERT(!m_node.find(deadly, m_now));
            crash(m_node, engine, deadly);
        }
        const auto found = m_node.find(deadly, m_now);
        CPPUNIT_ASSERT(found && found->signature == crash_signature{deadly.back()});
        CPPUNIT_ASSERT(!m_node.find(request({}), m_now));
    }

    // Guards against counting the repeats of one request at several engines as one crash.
    void repeatsWithinMillisecondsCount()
    {
        const features deadly = request({});
        for (engine_key engine = 1; engine <= 3; ++engine) {
            m_node.onBroken(engine, deadly, false, m_now);
            m_node.onEngineDown(engine, m_now);
            m_now += 3ms;
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against refusing sound requests that share segments with one that is repeated.
    void repeatedRequestDoesNotQuarantineItsSegments()
    {
        const features deadly = request({shared, poison});
        for (engine_key engine = 1; engine <= 12; ++engine) {
            crash(m_node, engine, deadly);
            CPPUNIT_ASSERT(!isQuarantined(shared) && !isQuarantined(poison));
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against a segment that stays in service because each of its requests is quarantined.
    void segmentOfRepeatedRequestsIsFound()
    {
        engine_key engine = 0;
        for (int i = 0; i < 5; ++i) {
            const features deadly = request({shared, poison});
            for (int attempt = 0; attempt < 3 && !m_node.find(deadly, m_now); ++attempt)
                crash(m_node, ++engine, deadly);
            m_node.onAnswered(request({shared}), m_now);
            m_now += 4s;
        }
        CPPUNIT_ASSERT_EQUAL(engine_key{5}, engine);
        CPPUNIT_ASSERT(isQuarantined(poison));
        CPPUNIT_ASSERT(!isQuarantined(shared));
    }

    // Guards against taking a request that is repeated at once, and its repeat, for one crash.
    void repeatAtOnceCountsAgainstTheSegment()
    {
        engine_key engine = 0;
        for (int i = 0; i < 2; ++i) {
            const features deadly = request({shared, poison});
            for (int attempt = 0; attempt < 2; ++attempt) {
                m_now += 60ms;
                m_node.onBroken(++engine, deadly, false, m_now);
                m_node.onEngineDown(engine, m_now);
            }
            m_node.onAnswered(request({shared}), m_now);
            m_now += 5s;
        }
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against counting crashes with a known cause against other requests at the engine.
    void otherRequestsAtTheCrashedEnginesAreCleared()
    {
        const features deadly = request({shared});
        constexpr std::uint64_t sound = 8;
        for (engine_key engine = 1; engine <= 3; ++engine) {
            if (engine <= 2)
                m_node.onBroken(engine, request({sound}), false, m_now);
            crash(m_node, engine, deadly);
        }
        crash(m_node, 4, request({sound}));
        crash(m_node, 5, request({sound}));
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
        CPPUNIT_ASSERT(!isQuarantined(sound));
    }

    // Guards against refusing a sound request that met crashes and was repeated.
    void soundRequestWithTwoCrashesIsServed()
    {
        const features sound = request({shared});
        crash(m_node, 1, sound);
        crash(m_node, 2, sound);
        CPPUNIT_ASSERT(!m_node.find(sound, m_now));
    }

    // Guards against refusing equal requests, such as look-ups without a body, that are answered.
    void equalSoundRequestsAreServed()
    {
        const features lookup = request({});
        for (engine_key engine = 1; engine <= 9; ++engine) {
            crash(m_node, engine, lookup);
            m_node.onAnswered(lookup, m_now);
            m_now += 1ms;
        }
        CPPUNIT_ASSERT(!m_node.find(lookup, m_now));
    }

    // Guards against a segment that is hidden by an engine which crashes by itself every second.
    void failingEngineDoesNotHideTheSegment()
    {
        engine_key engine = 1;
        int crashes = 0;
        for (int second = 0; second < 60 && !isQuarantined(poison); ++second) {
            crash(m_node, 1, request({shared, 100UL + static_cast<unsigned>(second)}));
            for (int i = 0; i < 50; ++i)
                m_node.onAnswered(request({shared}), m_now);
            m_now += 800ms;
            if (second % 4 != 0)
                continue;
            crash(m_node, ++engine, request({shared, poison}));
            ++crashes;
        }
        CPPUNIT_ASSERT(isQuarantined(poison));
        CPPUNIT_ASSERT(crashes <= 5);
        CPPUNIT_ASSERT(!isQuarantined(shared));
    }

    // Guards against two causes that hide one another: two segments and a request.
    void severalCausesAtOnceAreFound()
    {
        constexpr std::uint64_t other = 10;
        const features deadly = request({shared});
        engine_key engine = 0;
        for (int i = 0; i < 6; ++i) {
            for (const features &each :
                 {request({shared, poison}), request({shared, other}), deadly}) {
                if (!m_node.find(each, m_now))
                    crash(m_node, ++engine, each);
                m_node.onAnswered(request({shared}), m_now);
            }
        }
        CPPUNIT_ASSERT(isQuarantined(poison) && isQuarantined(other));
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
        CPPUNIT_ASSERT(!isQuarantined(shared));
        CPPUNIT_ASSERT(engine <= 3 * 5);
    }

    // Guards against an upstream with one engine that a request crashes each time it is back.
    void onlyEngineOfAnUpstreamIsProtected()
    {
        const features deadly = request({});
        for (int i = 0; i < 3; ++i) {
            m_now += 5s;
            m_node.onBroken(1, deadly, true, m_now);
            m_node.onEngineDown(1, m_now);
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against requests that crash an engine every few minutes, without end.
    void crashesMinutesApartAreConnected()
    {
        const features deadly = request({});
        for (engine_key engine = 1; engine <= 4; ++engine) {
            if (engine <= 3)
                crash(m_node, engine, deadly);
            crash(m_node, engine + 10, request({shared, poison}));
            m_node.onAnswered(request({shared}), m_now);
            m_now += 3min;
        }
        m_now -= 3min;
        CPPUNIT_ASSERT(isQuarantined(poison));
        crash(m_node, 4, deadly);
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against a quarantine whose end costs as many engines as its start.
    void trialCostsOneEngine()
    {
        quarantinePoison();
        m_now += request_quarantine::quarantineTime;
        const features trial = request({poison});
        CPPUNIT_ASSERT(!m_node.find(trial, m_now));
        m_node.onAttempt(trial, m_now);
        CPPUNIT_ASSERT(isQuarantined(poison));
        crash(m_node, 31, trial);
        CPPUNIT_ASSERT(isQuarantined(poison));
        m_now += request_quarantine::quarantineTime / 3;
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against refusing a segment for longer than an engine needs to answer it.
    void answeredTrialEndsTheQuarantine()
    {
        quarantinePoison();
        m_now += request_quarantine::quarantineTime;
        const features trial = request({poison});
        m_node.onAttempt(trial, m_now);
        m_node.onAnswered(trial, m_now + 300ms);
        CPPUNIT_ASSERT(!isQuarantined(poison));
        CPPUNIT_ASSERT(segment(poison) == m_node.takeNews().answered.at(0));
    }

    // Guards against a fleet whose nodes all try a quarantined segment at the same time.
    void nodesTryOneAfterAnother()
    {
        constexpr std::size_t count = 60;
        constexpr core::duration timeToLearn = 200ms;
        std::vector<request_quarantine> nodes;
        for (std::uint32_t i = 0; i < count; ++i) {
            nodes.emplace_back((i + 1) * 2'654'435'761U);
            nodes.back().setNodeCount(count);
        }
        quarantinePoison();
        const quarantine_report known = m_node.summary(m_now);
        for (request_quarantine &each : nodes)
            each.onPeerReport(known, m_now);
        std::size_t trials = 0;
        core::time_point end = m_now + request_quarantine::quarantineTime;
        for (; m_now <= end; m_now += 10ms) {
            for (request_quarantine &each : nodes) {
                const features trial = request({poison});
                if (each.find(trial, m_now))
                    continue;
                each.onAttempt(trial, m_now);
                end = std::min(end, m_now + timeToLearn);
                ++trials;
            }
        }
        CPPUNIT_ASSERT(trials >= 1 && trials <= 3);
    }

    // Guards against refusing equal sound requests that were running when a failure domain lost
    // power.
    void equalRequestsInOneOutageProveNothing()
    {
        const features equal = request({});
        for (engine_key engine = 1; engine <= 8; ++engine)
            m_node.onBroken(engine, equal, false, m_now);
        for (engine_key engine = 1; engine <= 8; ++engine)
            m_node.onEngineDown(engine, m_now + 10ms);
        CPPUNIT_ASSERT(!m_node.find(equal, m_now + 10ms));
    }

    // Guards against counting a crash twice because its report was read late, after a pause.
    void delayedReportCountsOnce()
    {
        request_quarantine peer(1);
        const features sound = request({poison});
        crash(peer, 1, sound);
        crash(peer, 2, sound);
        const quarantine_report news = peer.takeNews();
        m_now += 6s;
        m_node.onPeerReport(news, m_now);
        m_node.onPeerReport(peer.summary(m_now), m_now);
        CPPUNIT_ASSERT(!m_node.find(sound, m_now));
    }

    // Guards against blaming a segment that other requests at the crashed engines share.
    void bystandersOfARepeatedRequestDoNotQuarantineItsSegments()
    {
        const features deadly = request({shared});
        for (engine_key engine = 1; engine <= 4; ++engine) {
            m_node.onBroken(engine, request({shared}), false,
                            m_now + request_quarantine::sameMoment);
            crash(m_node, engine, deadly);
            CPPUNIT_ASSERT(!isQuarantined(shared));
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against one crash every five seconds where no request finds the engine down.
    void unconfirmedTrialDoesNotReleaseTheSegment()
    {
        quarantinePoison();
        m_now += request_quarantine::quarantineTime;
        int trials = 0;
        for (int second = 0; second < 60; ++second) {
            const features trial = request({poison});
            if (!m_node.find(trial, m_now)) {
                m_node.onAttempt(trial, m_now);
                m_node.onBroken(static_cast<engine_key>(40 + trials), trial, false, m_now);
                ++trials;
            }
            m_now += 1s;
        }
        CPPUNIT_ASSERT_EQUAL(1, trials);
    }

    // Guards against answers that are forgotten because each request has a digest of its own.
    void segmentAnsweredBetweenManyOtherRequestsStaysInService()
    {
        request_quarantine peer(1);
        for (engine_key engine = 1; engine <= 4; ++engine) {
            crash(peer, engine, request({poison}));
            m_now += 1ms;
        }
        m_node.onAnswered(request({poison}), m_now);
        for (int i = 0; i < 20'000; ++i)
            m_node.onAnswered(request({shared}), m_now);
        m_now += 10s;
        const quarantine_report correction = m_node.onPeerReport(peer.summary(m_now), m_now);
        CPPUNIT_ASSERT(!isQuarantined(poison));
        CPPUNIT_ASSERT(!correction.answered.empty());
    }

    // Guards against trials that add up over an hour to more retries than the contract allows.
    void deadlyRequestIsTriedThreeTimesAtMost()
    {
        const features deadly = request({});
        engine_key engine = 0;
        for (int second = 0; second < 3'600; ++second) {
            m_now += 1s;
            if (m_node.find(deadly, m_now))
                continue;
            m_node.onAttempt(deadly, m_now);
            m_node.onBroken(++engine, deadly, false, m_now);
            m_node.onEngineDown(engine, m_now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(engine), engine <= 3 + 3);
    }

    // Guards against refusing a request long after a quarantine because its attempt did not run.
    void trialThatDidNotRunDoesNotRefuseTheSegment()
    {
        quarantinePoison();
        m_now += 1h;
        const features sound = request({poison});
        CPPUNIT_ASSERT(!m_node.find(sound, m_now));
        m_node.onAttempt(sound, m_now);
        CPPUNIT_ASSERT(!m_node.find(sound, m_now + 1ms));
    }

    // Guards against refusing all requests after an outage that ends engines one by one.
    void outageThatTakesHalfASecondProvesNothing()
    {
        for (engine_key engine = 1; engine <= 40; ++engine) {
            m_node.onBroken(engine, request({shared, engine + 100UL}), false, m_now);
            m_node.onEngineDown(engine, m_now);
            m_node.onAnswered(request({}), m_now);
            m_now += 12ms;
        }
        CPPUNIT_ASSERT(!isQuarantined(shared));
    }

    // Guards against more than three requests after the fifth crash of a part.
    void moreSpecificCompanionDoesNotDelayTheSegment()
    {
        constexpr std::uint64_t companion = 50;
        engine_key engine = 0;
        while (!isQuarantined(poison) && engine < 20) {
            ++engine;
            const features deadly
                = engine == 3 ? request({shared, poison}) : request({shared, poison, companion});
            if (!m_node.find(deadly, m_now))
                crash(m_node, engine, deadly);
            m_node.onAnswered(request({shared}), m_now);
            if (engine > 4)
                m_node.onAnswered(request({shared, companion}), m_now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(engine), engine <= 5);
    }

    // Guards against a quarantine without end that one wrong datagram starts.
    void reportOfAnImpossibleRemainderIsBounded()
    {
        quarantine_report wrong;
        wrong.quarantined.push_back({{segment(poison)}, 1'000h, 4});
        m_node.onPeerReport(wrong, m_now);
        CPPUNIT_ASSERT(!m_node.find(std::vector{segment(poison)},
                                    m_now + 2 * request_quarantine::quarantineTime));
    }

    // Guards against a request that is always sent to the engine which has its prompt in its cache.
    void repeatedRequestAtOneEngineOfSeveralIsFound()
    {
        const features deadly = request({});
        for (int i = 0; i < 6; ++i) {
            crash(m_node, 1, deadly);
            for (int answered = 0; answered < 500; ++answered)
                m_node.onAnswered(request({shared}), m_now);
            m_now += 10s;
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
    }

    // Guards against a fleet that refuses a sound segment since one node was paused.
    void reportDelayedAtOneNodeConvictsNothingAtOthers()
    {
        request_quarantine witness(1);
        request_quarantine paused(1);
        std::vector<quarantine_report> waiting;
        for (engine_key engine = 1; engine <= 3; ++engine) {
            crash(witness, engine, request({poison}));
            waiting.push_back(witness.takeNews());
            m_node.onPeerReport(waiting.back(), m_now);
        }
        m_now += 6s;
        for (const quarantine_report &each : waiting)
            paused.onPeerReport(each, m_now);
        m_node.onPeerReport(paused.summary(m_now), m_now);
        CPPUNIT_ASSERT(!isQuarantined(poison));
    }

    // Guards against a crash that counts as a repeated report of another one, since two nodes drew
    // the same id from overlapping random sequences.
    void crashesOfNodesWithRelatedSeedsAreDistinct()
    {
        constexpr std::size_t nodes = 4;
        constexpr std::size_t crashesOfEach = 3;
        std::minstd_rand seeds(1);
        for (std::size_t i = 0; i < nodes; ++i) {
            request_quarantine node(static_cast<std::uint32_t>(seeds()));
            for (std::size_t k = 0; k < crashesOfEach; ++k) {
                m_now += 2 * request_quarantine::confirmationWindow;
                crash(node, 1, request({}));
            }
            m_node.onPeerReport(node.summary(m_now), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(nodes * crashesOfEach, m_node.summary(m_now).crashes.size());
    }

    // Guards against two engines that one request ends, again and again, because the quarantine was
    // forgotten before the next request came.
    void requestRarerThanTheQuarantineCostsOneEngine()
    {
        quarantinePoison();
        m_now += 5 * request_quarantine::quarantineTime;
        const features deadly = request({poison});
        CPPUNIT_ASSERT(!m_node.find(deadly, m_now));
        m_node.onAttempt(deadly, m_now);
        m_node.onBroken(1, deadly, false, m_now + 50ms);
        CPPUNIT_ASSERT(m_node.find(deadly, m_now + 51ms));
    }

    // Guards against refusing all requests of a route while one request that crashes engines and
    // one such part of prompts come in a quiet hour.
    void requestAndPartThatCrashEnginesDoNotQuarantineWhatTheyShare()
    {
        const features deadly = request({shared});
        crash(m_node, 1, deadly);
        crash(m_node, 2, deadly);
        constexpr engine_key crashesOfThePart = 5;
        for (engine_key engine = 3; engine < 3 + crashesOfThePart; ++engine) {
            crash(m_node, engine, request({shared, poison}));
            CPPUNIT_ASSERT(!isQuarantined(shared));
        }
        CPPUNIT_ASSERT(m_node.find(deadly, m_now));
        checkPoisonIsFound();
    }

    // Guards against peers that go on suspecting a segment since it was answered after the crash,
    // but before the node that saw both knew that the engine was down.
    void reportOmitsWhatWasAnsweredBeforeTheConfirmation()
    {
        request_quarantine peer(2);
        for (engine_key engine = 1; engine <= 4; ++engine) {
            m_now += 1s;
            m_node.onBroken(engine, request({shared, poison, subject}), false, m_now);
            m_node.onAnswered(request({shared, subject}), m_now + 20ms);
            m_node.onEngineDown(engine, m_now + 100ms);
            m_now += 110ms;
            quarantine_report news = m_node.takeNews();
            news.quarantined.clear();
            peer.onPeerReport(news, m_now);
        }
        CPPUNIT_ASSERT(peer.find(request({poison}), m_now));
    }

    // Guards against several nodes that try the same signature, or signatures with the same cause,
    // before one of them knows the result.
    void trialIsKnownToTheFleet()
    {
        for (engine_key engine = 1; engine <= 4; ++engine)
            crash(m_node, engine, request({poison, subject}));
        for (engine_key engine = 5; engine <= 6; ++engine)
            crash(m_node, engine, request({poison, subject + 1}));
        request_quarantine peer(2);
        peer.onPeerReport(m_node.takeNews(), m_now);
        m_now += 10min;
        const features trial = request({poison, subject});
        CPPUNIT_ASSERT(!m_node.find(trial, m_now) && !peer.find(trial, m_now));
        m_node.onAttempt(trial, m_now);
        peer.onPeerReport(m_node.takeNews(), m_now);
        for (const std::uint64_t each : {subject, subject + 1}) {
            CPPUNIT_ASSERT(isRefused({poison, each}));
            CPPUNIT_ASSERT(peer.find(request({poison, each}), m_now));
        }
        CPPUNIT_ASSERT(!peer.find(request({subject}), m_now));
        m_node.onAnswered(trial, m_now);
        peer.onPeerReport(m_node.takeNews(), m_now);
        CPPUNIT_ASSERT(!peer.find(trial, m_now));
    }

    // Guards against refusing all sound requests that share a segment with deadly ones, while too
    // few are sent to clear it, wherever the deadly one stands and whatever was answered before.
    void soundRequestsAreServedWhereverTheDeadlySegmentStands()
    {
        enum class history { Nothing, Companions, Everything };
        for (const history before : {history::Nothing, history::Companions, history::Everything}) {
            for (std::size_t position = 0; position < 3; ++position) {
                m_node = request_quarantine(1);
                m_now += 1h;
                std::vector<std::uint64_t> deadly = {shared, subject};
                deadly.insert(deadly.begin() + static_cast<std::ptrdiff_t>(position), poison);
                if (before != history::Nothing)
                    m_node.onAnswered(request({shared, subject}), m_now);
                if (before == history::Everything)
                    m_node.onAnswered(request({poison}), m_now);
                m_now += 1min;
                for (engine_key engine = 1; engine <= 5; engine += 2) {
                    const features repeated = request(deadly);
                    for (const engine_key each : {engine, engine + 1}) {
                        if (!m_node.find(repeated, m_now))
                            crash(m_node, each, repeated);
                    }
                    CPPUNIT_ASSERT(!isRefused({shared, subject}));
                    CPPUNIT_ASSERT(!isRefused({shared}));
                }
                CPPUNIT_ASSERT(m_node.find(request(deadly), m_now));
                m_node.onAnswered(request({shared, subject}), m_now);
                CPPUNIT_ASSERT(isQuarantined(poison));
            }
        }
    }

    // Guards against more than three requests after the fifth crash of a segment whose companions
    // are others from then on.
    void deadlySegmentIsFoundAmongChangingCompanions()
    {
        constexpr engine_key crashesInTime = 5;
        constexpr engine_key allowedLate = 3;
        for (std::size_t kept = 1; kept <= 2; ++kept) {
            m_node = request_quarantine(1);
            m_now += 1h;
            engine_key engine = 0;
            for (std::uint64_t i = 0; i < 40; ++i) {
                const std::uint64_t other = i < 4 ? subject : 100 + i;
                const features deadly
                    = kept == 2 ? request({shared, poison, other}) : request({other, poison});
                for (int attempt = 0; attempt < 2 && !m_node.find(deadly, m_now); ++attempt)
                    crash(m_node, ++engine, deadly);
                CPPUNIT_ASSERT(!isRefused({shared, subject}));
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(engine), engine <= crashesInTime + allowedLate);
        }
    }

    // Guards against a deadly segment that is not found since its requests are of two kinds.
    void requestsOfTwoKindsWithADeadlySegmentAreRefused()
    {
        constexpr engine_key crashesInTime = 5;
        constexpr engine_key allowedLate = 3;
        engine_key engine = 0;
        for (std::uint64_t i = 0; i < 40; ++i) {
            const features deadly = request({shared, poison, subject + i % 2});
            if (!m_node.find(deadly, m_now))
                crash(m_node, ++engine, deadly);
            CPPUNIT_ASSERT(!isRefused({shared, subject}) && !isRefused({shared, subject + 1}));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(engine), engine <= crashesInTime + allowedLate);
    }

    // Guards against refusing all requests since an engine that crashed by itself ran a sound one.
    void otherCrashOfASoundRequestRefusesNoOther()
    {
        for (engine_key engine = 1; engine <= 6; ++engine)
            crash(m_node, engine, request({shared, poison, subject}));
        crash(m_node, 7, request({shared, subject + 1}));
        CPPUNIT_ASSERT(!isRefused({shared, subject}) && !isRefused({shared, subject + 2}));
        CPPUNIT_ASSERT(isRefused({shared, poison, subject}));
    }

    // Guards against a node that refuses sound requests since it knows a quarantine but no answers.
    void restartedNodeServesWhatSharesSegments()
    {
        for (engine_key engine = 1; engine <= 4; ++engine)
            crash(m_node, engine, request({shared, poison, subject}));
        m_now += 10s;
        request_quarantine restarted(1);
        restarted.onPeerReport(m_node.summary(m_now), m_now);
        CPPUNIT_ASSERT(restarted.find(request({shared, poison, subject}), m_now));
        CPPUNIT_ASSERT(!restarted.find(request({shared, subject}), m_now));
        restarted.onAnswered(request({shared, subject}), m_now);
        CPPUNIT_ASSERT(restarted.find(request({poison}), m_now));
        m_node.onPeerReport(restarted.takeNews(), m_now);
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against a segment that returns to the signature with the report of a node that was cut
    // off, and against a node that never learns of its answer.
    void segmentAnsweredAtAPeerLeavesTheSignature()
    {
        request_quarantine cutOff(2);
        for (engine_key engine = 1; engine <= 4; ++engine)
            crash(m_node, engine, request({shared, poison, subject}));
        cutOff.onPeerReport(m_node.takeNews(), m_now);
        m_now += 1s;
        m_node.onAnswered(request({shared, subject}), m_now);
        const quarantine_report correction = m_node.onPeerReport(cutOff.summary(m_now), m_now);
        CPPUNIT_ASSERT(isQuarantined(poison) && !isRefused({shared, subject}));
        cutOff.onPeerReport(correction, m_now);
        CPPUNIT_ASSERT(cutOff.find(request({poison}), m_now));
    }

    // Guards against a trial at the end of a quarantine that is blamed on all segments of its
    // request.
    void failedTrialRefusesNoSoundRequest()
    {
        for (engine_key engine = 1; engine <= 4; ++engine)
            crash(m_node, engine, request({shared, poison, subject}));
        core::duration wait = request_quarantine::quarantineTime;
        for (engine_key engine = 5; engine <= 7; ++engine) {
            m_now += wait;
            wait *= 4;
            const features trial = request({shared, poison, subject});
            CPPUNIT_ASSERT(!m_node.find(trial, m_now));
            m_node.onAttempt(trial, m_now);
            CPPUNIT_ASSERT(!isRefused({shared, subject}));
            crash(m_node, engine, trial);
            CPPUNIT_ASSERT(isRefused({shared, poison, subject}));
            CPPUNIT_ASSERT(!isRefused({shared, subject}));
        }
    }

    // Guards against an upstream with one engine that refuses all its sound requests.
    void onlyEngineServesSoundRequests()
    {
        int crashes = 0;
        for (int i = 0; i < 40; ++i) {
            m_now += 5s;
            const features deadly = request({poison, shared, subject});
            CPPUNIT_ASSERT(!isRefused({shared, subject}));
            if (m_node.find(deadly, m_now))
                continue;
            m_node.onBroken(1, deadly, true, m_now);
            m_node.onEngineDown(1, m_now);
            ++crashes;
        }
        CPPUNIT_ASSERT(crashes <= 5);
    }

    // Guards against a segment that no answer clears since none has a length or a second event.
    void endedResponseOfARunningEngineClears()
    {
        for (engine_key engine = 1; engine <= 4; ++engine)
            crash(m_node, engine, request({shared, poison}));
        m_node.onEnded(9, request({shared}), false, m_now);
        CPPUNIT_ASSERT(!isQuarantined(poison));
        m_node.onEngineAlive(9, m_now - 1ms);
        CPPUNIT_ASSERT(!isQuarantined(poison));
        m_node.onEngineAlive(9, m_now);
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against a deadly request that is cleared since its engine closed all connections in
    // order when it crashed.
    void endedResponseOfACrashedEngineCounts()
    {
        for (engine_key engine = 1; engine <= 4; ++engine) {
            m_now += 1s;
            m_node.onEnded(engine, request({poison}), false, m_now);
            m_node.onEngineDown(engine, m_now + 10ms);
            m_node.onEngineAlive(engine, m_now + 20ms);
        }
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    // Guards against one crash that is held as several, with more and with fewer features.
    void clearedSegmentDoesNotDuplicateTheCrash()
    {
        request_quarantine first(1);
        request_quarantine second(1);
        crash(first, 1, request({shared, poison}));
        second.onPeerReport(first.summary(m_now), m_now);
        second.onAnswered(request({shared}), m_now);
        m_node.onPeerReport(first.summary(m_now), m_now);
        m_node.onPeerReport(second.summary(m_now), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_node.summary(m_now).crashes.size());
    }

private:
    using features = std::vector<request_feature>;

    static constexpr std::uint64_t shared = 7;
    static constexpr std::uint64_t poison = 9;
    static constexpr std::uint64_t subject = 60;

    void crash(request_quarantine &node, engine_key engine, const features &segments)
    {
        m_now += request_quarantine::sameMoment;
        node.onBroken(engine, segments, false, m_now);
        node.onEngineDown(engine, m_now + 10ms);
        m_now += 10ms;
    }

    void quarantinePoison()
    {
        m_now += request_quarantine::memory;
        for (engine_key engine = 21; engine <= 24; ++engine)
            crash(m_node, engine, request({poison}));
        CPPUNIT_ASSERT(isQuarantined(poison));
        m_node.takeNews();
    }

    /** Sound requests with the shared segment are served; their answer shows which one is deadly.
     */
    void checkPoisonIsFound()
    {
        CPPUNIT_ASSERT(isRefused({shared, poison}));
        CPPUNIT_ASSERT(!isQuarantined(shared));
        m_node.onAnswered(request({shared}), m_now);
        CPPUNIT_ASSERT(isQuarantined(poison));
    }

    /** Returns whether a request with these segments that is like no other is refused. */
    bool isRefused(std::initializer_list<std::uint64_t> segments)
    {
        return m_node.find(request(segments), m_now).has_value();
    }

    bool isQuarantined(std::uint64_t key) const
    {
        return m_node.find(std::vector{segment(key)}, m_now).has_value();
    }

    static request_feature segment(std::uint64_t key) { return {feature_kind::Segment, key}; }

    /** Returns the features of a request with these segments that is like no other. */
    features request(std::initializer_list<std::uint64_t> segments)
    {
        return request(std::vector<std::uint64_t>(segments));
    }

    features request(const std::vector<std::uint64_t> &segments)
    {
        features result;
        for (const std::uint64_t key : segments)
            result.push_back(segment(key));
        result.push_back({feature_kind::Request, ++m_lastDigest});
        return result;
    }

    std::uint64_t m_lastDigest = 0;
    core::time_point m_now{10h};
    request_quarantine m_node{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_quarantine_test);
