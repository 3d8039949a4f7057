#include "dispatch/admission.h"
#include "dispatch/caller_age.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 4;
constexpr std::uint32_t slotsOfEngine = 7;
constexpr core::duration duration = 100s;
constexpr core::duration waveLength = 10s;
constexpr core::duration overloadLength = 4s;
constexpr core::duration maxQueueTime = 1'200ms;
/** Differences of shares that the order of random events alone may cause. */
constexpr double tolerance = 0.01;

struct request_profile
{
    /** At the capacity of all engines. */
    double perSecond = 0;
    /** Mean time to the first event, and the time from it to the end. */
    double firstEventSeconds = 0;
    double restSeconds = 0;
    core::duration objective{};
    core::duration timeout{};
};

/** Long and short generations and classifications, by priority; about 28 slots in use. */
constexpr std::array<request_profile, 3> profiles
    = {{{8, 0.1, 1.47, 800ms, 12s}, {12, 0.01, 1.1, 800ms, 12s}, {14, 0.03, 0.1, 1'200ms, 3s}}};

struct priority_result
{
    std::size_t asked = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refusedFirst = 0;
    std::size_t refusedSecond = 0;
    std::size_t askedLargest = 0;
    std::size_t servedLargest = 0;
    double heldSeconds = 0;

    double share(std::size_t count) const
    {
        return static_cast<double>(count) / static_cast<double>(asked);
    }
    double served() const { return share(onTime + late); }
    double meanHeld() const
    {
        return heldSeconds / static_cast<double>(std::max<std::size_t>(1, refusals()));
    }
    std::size_t refusals() const { return refusedFirst + refusedSecond; }
    double largestServed() const
    {
        return static_cast<double>(servedLargest) / static_cast<double>(askedLargest);
    }
    /** An answer in time is worth three late ones. */
    double worth() const { return share(onTime) + share(late) / 3; }
};

using load_result = std::array<priority_result, profiles.size()>;

/** One node in waves of load, with callers who return once; on virtual time. */
class wave_simulation
{
public:
    wave_simulation(std::uint32_t seed, bool isCoordinated)
        : m_random(seed), m_registry("d1", seed), m_fleet(1, "d1", {}),
          m_admission(m_registry, m_fleet, seed)
    {
        if (isCoordinated)
            m_admission.setCoordinated({"u"});
    }

    load_result run()
    {
        for (std::size_t i = 0; i < engineCount; ++i)
            m_registry.update({.id = "e" + std::to_string(i),
                               .upstream = "u",
                               .address = "127.0.0.1:1",
                               .domain = "d1",
                               .slots = slotsOfEngine,
                               .startedAt = 1},
                              nullptr, m_now);
        for (std::uint32_t priority = 0; priority < profiles.size(); ++priority)
            scheduleArrival(priority);
        scheduleTick();
        while (!m_events.empty() && m_events.top().at < m_begin + duration + 15s) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        return m_result;
    }

private:
    struct event
    {
        core::time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    struct request
    {
        std::uint32_t priority = 0;
        core::time_point firstArrival{};
        core::time_point arrival{};
        /** Relative to the mean. */
        double size = 1;
        bool returned = false;
    };

    void after(core::duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_order, std::move(action)});
    }

    static core::duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
    }

    /** Load relative to the capacity: waves of 1.5 and 2 times in turn. */
    double load() const
    {
        const core::duration elapsed = m_now - m_begin;
        if (elapsed % waveLength >= overloadLength)
            return 0.7;
        return elapsed / waveLength % 2 == 0 ? 1.5 : 2;
    }

    void scheduleArrival(std::uint32_t priority)
    {
        std::exponential_distribution<double> interval(profiles[priority].perSecond * load());
        after(fromSeconds(interval(m_random)), [this, priority] {
            if (m_now >= m_begin + duration)
                return;
            const double size = std::exponential_distribution<double>(1)(m_random);
            const core::request_id id = ++m_lastId;
            m_requests[id]
                = {.priority = priority, .firstArrival = m_now, .arrival = m_now, .size = size};
            ++m_result[priority].asked;
            m_result[priority].askedLargest += isLargest(m_requests[id]) ? 1 : 0;
            submit(id);
            scheduleArrival(priority);
        });
    }

    /** The largest tenth of an exponential distribution. */
    static bool isLargest(const request &target) { return target.size > 2.3; }

    void scheduleTick()
    {
        after(20ms, [this] {
            for (const core::request_id id : m_admission.takeExpired(m_now))
                refuse(id, m_admission.retryAfter("u", m_requests[id].priority, m_now,
                                                  deadlineOf(m_requests[id])));
            m_admission.onPeerLoadsUpdated();
            poll(poll_trigger::RemoteChange);
            scheduleTick();
        });
    }

    static core::time_point deadlineOf(const request &target)
    {
        return target.firstArrival + profiles[target.priority].timeout;
    }

    void poll(poll_trigger trigger)
    {
        for (const admission_grant &grant : m_admission.poll("u", trigger, m_now))
            start(grant.id, grant.engine);
    }

    void submit(core::request_id id)
    {
        const request &target = m_requests[id];
        const request_profile &profile = profiles[target.priority];
        const core::duration age
            = m_admission.isCoordinated("u")
                  ? m_ages.onRequest(std::to_string(target.priority), deadlineOf(target) - m_now,
                                     profile.timeout, m_now)
                  : 0ms;
        const core::duration queueTime
            = std::min<core::duration>(profile.timeout / 4, maxQueueTime);
        const admission_decision decision
            = m_admission.submit({.id = id,
                                  .upstream = "u",
                                  .priority = target.priority,
                                  .objectiveAt = m_now - age + profile.objective,
                                  .queueDeadline = std::min(m_now + queueTime, deadlineOf(target)),
                                  .objective = profile.objective,
                                  .deadline = deadlineOf(target)},
                                 m_now);
        if (decision.outcome == admission_outcome::Start)
            start(id, decision.engine);
        else if (decision.outcome == admission_outcome::Refuse)
            refuse(id, decision.retryAfter);
    }

    void start(core::request_id id, const engine_entry &engine)
    {
        const request &target = m_requests[id];
        const request_profile &profile = profiles[target.priority];
        const core::duration first = fromSeconds(profile.firstEventSeconds * target.size);
        after(first, [this, id, first] {
            const request &served = m_requests[id];
            const bool onTime = m_now - served.firstArrival <= profiles[served.priority].objective;
            ++(onTime ? m_result[served.priority].onTime : m_result[served.priority].late);
            m_result[served.priority].servedLargest += isLargest(served) ? 1 : 0;
            m_admission.onFirstEvent("u", served.priority, first);
        });
        const core::duration total = first + fromSeconds(profile.restSeconds);
        after(total, [this, engine, total] {
            m_admission.onEnd("u", engine.id, attempt_result::Served, total, m_now);
            poll(poll_trigger::OwnCompletion);
        });
    }

    void refuse(core::request_id id, core::duration retryAfter)
    {
        request &target = m_requests[id];
        priority_result &result = m_result[target.priority];
        result.heldSeconds += std::chrono::duration<double>(m_now - target.arrival).count();
        ++(target.returned ? result.refusedSecond : result.refusedFirst);
        if (std::exchange(target.returned, true))
            return;
        after(std::min<core::duration>(retryAfter, (deadlineOf(target) - m_now) / 3), [this, id] {
            m_requests[id].arrival = m_now;
            submit(id);
        });
    }

    std::mt19937 m_random;
    const core::time_point m_begin{10h};
    core::time_point m_now{m_begin};
    engine_registry m_registry;
    fleet_view m_fleet;
    admission m_admission;
    caller_age m_ages;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    core::request_id m_lastId = 0;
    std::unordered_map<core::request_id, request> m_requests;
    load_result m_result;
};

void add(load_result &sum, const load_result &added)
{
    for (std::size_t i = 0; i < sum.size(); ++i) {
        sum[i].asked += added[i].asked;
        sum[i].onTime += added[i].onTime;
        sum[i].late += added[i].late;
        sum[i].refusedFirst += added[i].refusedFirst;
        sum[i].refusedSecond += added[i].refusedSecond;
        sum[i].askedLargest += added[i].askedLargest;
        sum[i].servedLargest += added[i].servedLargest;
        sum[i].heldSeconds += added[i].heldSeconds;
    }
}

void print(const std::string &name, const load_result &result)
{
    std::cout << name << '\n';
    for (const priority_result &each : result)
        std::cout << "  " << each.asked << " asked, " << each.onTime << " on time, " << each.late
                  << " late, " << each.refusedFirst << " refused first, " << each.refusedSecond
                  << " again, held " << each.meanHeld() << " s, largest " << each.servedLargest
                  << " of " << each.askedLargest << ", worth " << each.worth() << '\n';
}

} // namespace

class overload_return_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_return_test);
    CPPUNIT_TEST(wavesOfOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that are held for long and then refused, or that return into the
    // overload: waves of 1.5 and 2 times the capacity.
    void wavesOfOverload()
    {
        load_result before;
        load_result after;
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            add(before, wave_simulation(seed, false).run());
            add(after, wave_simulation(seed, true).run());
        }
        print("not coordinated", before);
        print("coordinated", after);
        for (std::size_t i = 0; i < after.size(); ++i) {
            const priority_result &now = after[i];
            CPPUNIT_ASSERT(now.share(now.onTime) >= before[i].share(before[i].onTime) - tolerance);
            CPPUNIT_ASSERT(now.worth() >= before[i].worth() - tolerance);
            CPPUNIT_ASSERT(now.meanHeld() <= std::max(0.1, 0.6 * before[i].meanHeld()));
            CPPUNIT_ASSERT(now.share(now.refusedSecond)
                           <= before[i].share(before[i].refusedSecond) + 2 * tolerance);
            // The largest tenth is served at least half as often as all requests.
            CPPUNIT_ASSERT(now.largestServed() >= now.served() / 2);
            if (i > 0) {
                CPPUNIT_ASSERT(after[i - 1].served() >= now.served());
                CPPUNIT_ASSERT(after[i - 1].worth() >= now.worth());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_return_test);
