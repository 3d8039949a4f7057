#include "dispatch/admission.h"
#include "dispatch/engine_subsetting.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t nodeCount = 16;
constexpr std::size_t engineCount = 24;
constexpr std::uint32_t slotsOfEngine = 7;
constexpr double meanServiceSeconds = 0.6;
/** 1.5 times the capacity of all engines. */
constexpr double requestsPerSecond = 1.5 * engineCount * slotsOfEngine / meanServiceSeconds;
/** Shares of the requests by priority; those of priority 0 need 0.375 of the slots. */
constexpr std::array<double, 3> shares = {0.25, 0.35, 0.4};
constexpr core::duration objective = 800ms;
constexpr core::duration maxQueueTime = 1'200ms;
constexpr core::duration updateDelay = 4ms;
constexpr core::duration networkLatency = 1ms;
constexpr core::duration statusInterval = 236ms;
constexpr core::duration tickInterval = 20ms;
constexpr core::duration eventInterval = 30ms;
constexpr core::duration duration = 40s;
constexpr double lossProbability = 0.005;

struct load_result
{
    std::array<std::size_t, 3> arrived{};
    std::array<std::size_t, 3> started{};
    std::array<std::size_t, 3> startedPromptly{};
    std::array<std::size_t, 3> startedAtOnce{};
    /** Requests that found all slots of their engine in use. */
    std::size_t queuedAtEngines = 0;
    double busySeconds = 0;
    std::uint64_t yielded = 0;
    std::uint64_t reclaimed = 0;

    double promptShare(std::size_t priority) const
    {
        return static_cast<double>(startedPromptly[priority])
               / static_cast<double>(arrived[priority]);
    }
    double atOnceShare(std::size_t priority) const
    {
        return static_cast<double>(startedAtOnce[priority])
               / static_cast<double>(arrived[priority]);
    }
    double utilisation() const
    {
        return busySeconds
               / (std::chrono::duration<double>(duration).count() * engineCount * slotsOfEngine);
    }
};

/** Nodes that share engines and exchange delayed messages, on virtual time. */
class handover_simulation
{
public:
    handover_simulation(std::uint32_t seed, bool coordinated)
        : m_random(seed), m_engines(engineCount), m_coordinated(coordinated)
    { }

    load_result run()
    {
        for (std::uint32_t address = 1; address <= nodeCount; ++address)
            addNode(address);
        for (auto &each : m_nodes) {
            for (auto &other : m_nodes)
                sendStatus(*each, *other, false);
        }
        m_end = m_now + duration;
        scheduleArrival();
        while (!m_events.empty() && m_events.top().at < m_end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        for (const auto &each : m_nodes) {
            m_result.yielded += each->admission.handover().yieldedCount();
            m_result.reclaimed += each->admission.handover().reclaimedCount();
        }
        return m_result;
    }

private:
    struct node
    {
        node(std::uint32_t self, const std::string &domain)
            : address(self), registry(domain, self), fleet(self, domain, {}),
              subsetting(self, registry), admission(registry, fleet, self)
        { }

        std::uint32_t address;
        engine_registry registry;
        fleet_view fleet;
        engine_subsetting subsetting;
        class admission admission;
        std::uint64_t sequence = 0;
        bool updatePending = false;
    };
    struct request
    {
        node *owner = nullptr;
        std::uint32_t priority = 0;
        core::time_point arrivedAt{};
        core::duration service{};
    };
    struct engine
    {
        std::uint32_t busy = 0;
        std::deque<core::request_id> waiting;
    };
    struct event
    {
        core::time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(core::duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_order++, std::move(action)});
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    core::duration exponential(double meanSeconds)
    {
        const double value = std::exponential_distribution<double>(1 / meanSeconds)(m_random);
        return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
    }

    void addNode(std::uint32_t address)
    {
        const std::string domain = "d" + std::to_string(address % 3);
        auto &added = *m_nodes.emplace_back(std::make_unique<node>(address, domain));
        for (std::size_t i = 0; i < engineCount; ++i)
            added.registry.update({.id = "e" + std::to_string(i),
                                   .upstream = "u",
                                   .address = "127.0.0.1:1",
                                   .domain = "d" + std::to_string(i % 3),
                                   .slots = slotsOfEngine},
                                  nullptr, m_now);
        if (m_coordinated)
            added.admission.setCoordinated({"u"});
        added.fleet.setStatusInterval(statusInterval);
        added.admission.setLoadAge(statusInterval / 2);
        schedule(exponential(0.01), [this, &added] { tick(added); });
        schedule(exponential(0.1), [this, &added] { sendStatuses(added); });
    }

    void tick(node &self)
    {
        schedule(tickInterval, [this, &self] { tick(self); });
        for (const core::request_id id : self.admission.takeExpired(m_now))
            m_requests.erase(id);
        if (self.subsetting.update(self.fleet.activeNodes(m_now)))
            self.admission.setPeersOfPreferredEngines(self.address,
                                                      self.subsetting.peersOfPreferredEngines());
        poll(self, poll_trigger::RemoteChange);
    }

    void poll(node &self, poll_trigger trigger)
    {
        for (const admission_grant &grant : self.admission.poll("u", trigger, m_now))
            start(grant.id, grant.engine.id);
        sendUpdatesSoon(self);
    }

    void sendStatuses(node &self)
    {
        schedule(statusInterval, [this, &self] { sendStatuses(self); });
        for (auto &each : m_nodes)
            sendStatus(self, *each, true);
        self.admission.onPeerLoadsUpdated();
    }

    void sendStatus(node &self, node &receiver, bool delayed)
    {
        if (&self == &receiver)
            return;
        node_status status;
        status.address = self.address;
        status.incarnation = 1;
        status.domain = "d" + std::to_string(self.address % 3);
        status.ready = true;
        status.sequence = ++self.sequence;
        status.loads = self.registry.ownLoads();
        status.queues = self.admission.queues();
        if (delayed && uniform() < lossProbability)
            return;
        schedule(delayed ? networkLatency : 0ms, [this, &receiver, status] {
            receiver.fleet.onStatus(status, m_now);
            receiver.registry.setPeerLoads(status.address, status.loads);
            receiver.admission.onPeerStatus(status.address, status.queues, m_now);
        });
    }

    void sendUpdatesSoon(node &self)
    {
        const bool pending
            = self.registry.hasPendingUpdates() || self.admission.hasQueueReports(m_now);
        if (pending && !std::exchange(self.updatePending, true))
            schedule(updateDelay, [this, &self] { sendUpdates(self); });
    }

    void sendUpdates(node &self)
    {
        self.updatePending = false;
        const std::vector<std::uint32_t> peers = self.fleet.peers();
        const auto queues = self.admission.takeQueueReports(m_now);
        for (auto &[address, sent] : self.subsetting.takeUpdates(peers, queues)) {
            engine_update update = sent;
            update.address = self.address;
            update.incarnation = 1;
            update.sequence = ++self.sequence;
            if (uniform() < lossProbability)
                continue;
            node &receiver = *m_nodes[address - 1];
            schedule(networkLatency, [this, &receiver, update] { onUpdate(receiver, update); });
        }
    }

    void onUpdate(node &self, const engine_update &update)
    {
        if (!self.fleet.acceptEngineUpdate(update))
            return;
        for (const engine_load &load : update.loads)
            self.registry.setPeerLoad(update.address, load);
        self.admission.onPeerQueues(update.address, update.queues, m_now);
        if (m_coordinated)
            poll(self, poll_trigger::PeerUpdate);
    }

    void scheduleArrival()
    {
        schedule(exponential(1 / requestsPerSecond), [this] {
            scheduleArrival();
            arrive();
        });
    }

    void arrive()
    {
        node &self = *m_nodes[m_random() % nodeCount];
        const double drawn = uniform();
        const std::uint32_t priority = drawn < shares[0]               ? 0
                                       : drawn < shares[0] + shares[1] ? 1
                                                                       : 2;
        const core::request_id id = ++m_lastId;
        m_requests[id] = {&self, priority, m_now, exponential(meanServiceSeconds)};
        ++m_result.arrived[priority];
        const admission_decision decision
            = self.admission.submit({.id = id,
                                     .upstream = "u",
                                     .priority = priority,
                                     .objectiveAt = m_now + objective,
                                     .queueDeadline = m_now + maxQueueTime,
                                     .objective = objective,
                                     .deadline = m_now + 12s},
                                    m_now);
        if (decision.outcome == admission_outcome::Start)
            start(id, decision.engine.id);
        else if (decision.outcome == admission_outcome::Refuse)
            m_requests.erase(id);
        sendUpdatesSoon(self);
    }

    void start(core::request_id id, const std::string &engineId)
    {
        engine &target = m_engines[std::stoul(engineId.substr(1))];
        if (target.busy < slotsOfEngine) {
            serve(id, engineId);
            return;
        }
        ++m_result.queuedAtEngines;
        target.waiting.push_back(id);
    }

    void serve(core::request_id id, const std::string &engineId)
    {
        const request &served = m_requests.at(id);
        ++m_engines[std::stoul(engineId.substr(1))].busy;
        ++m_result.started[served.priority];
        if (m_now - served.arrivedAt <= objective / 2)
            ++m_result.startedPromptly[served.priority];
        if (m_now - served.arrivedAt <= 100ms)
            ++m_result.startedAtOnce[served.priority];
        m_result.busySeconds
            += std::chrono::duration<double>(std::min(served.service, m_end - m_now)).count();
        sendBytes(id, engineId);
        schedule(served.service, [this, id, engineId] { end(id, engineId); });
    }

    /** A stream sends events all the time; a silent engine would be taken for stalled. */
    void sendBytes(core::request_id id, const std::string &engineId)
    {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return;
        found->second.owner->registry.onBytes(engineId, m_now);
        schedule(eventInterval, [this, id, engineId] { sendBytes(id, engineId); });
    }

    void end(core::request_id id, const std::string &engineId)
    {
        engine &target = m_engines[std::stoul(engineId.substr(1))];
        --target.busy;
        if (!target.waiting.empty()) {
            serve(target.waiting.front(), engineId);
            target.waiting.pop_front();
        }
        const request ended = m_requests.at(id);
        m_requests.erase(id);
        ended.owner->admission.onEnd("u", engineId, attempt_result::Served, ended.service, m_now);
        poll(*ended.owner, poll_trigger::OwnCompletion);
    }

    std::mt19937 m_random;
    core::time_point m_now = core::time_point{} + 100s;
    core::time_point m_end{};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<engine> m_engines;
    std::map<core::request_id, request> m_requests;
    core::request_id m_lastId = 0;
    load_result m_result;
    bool m_coordinated;
};

void print(std::uint32_t seed, const char *name, const load_result &result)
{
    std::cout << "slot_handover seed " << seed << ' ' << name;
    for (std::size_t i = 0; i < shares.size(); ++i)
        std::cout << " p" << i << " started "
                  << static_cast<double>(result.started[i]) / static_cast<double>(result.arrived[i])
                  << " in 400 ms " << result.promptShare(i) << " in 100 ms "
                  << result.atOnceShare(i);
    std::cout << " utilisation " << result.utilisation() << " queued at engines "
              << result.queuedAtEngines << " yielded " << result.yielded << " reclaimed "
              << result.reclaimed << '\n';
}

} // namespace

class slot_handover_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_handover_load_test);
    CPPUNIT_TEST(urgentRequestsStartPromptlyInOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against urgent requests that wait while less urgent ones of other nodes get the slots
    // of shared engines, and against slots that stay idle for them.
    void urgentRequestsStartPromptlyInOverload()
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            const load_result before = handover_simulation(seed, false).run();
            const load_result after = handover_simulation(seed, true).run();
            print(seed, "before", before);
            print(seed, "after", after);
            // Fewer than half as many are late, and the plan allows a loss of 0.03 elsewhere.
            CPPUNIT_ASSERT(1 - after.promptShare(0) <= (1 - before.promptShare(0)) / 2);
            CPPUNIT_ASSERT(after.atOnceShare(0) > before.atOnceShare(0));
            CPPUNIT_ASSERT(after.utilisation() >= before.utilisation() - 0.03);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_handover_load_test);
