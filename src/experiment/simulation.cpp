#include "experiment/simulation.h"

#include "experiment/engine_model.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace comfreypass::experiment {

namespace {

using dispatch::attempt_result;
using namespace std::chrono_literals;

constexpr core::duration tickInterval = 2ms;

/** Engines that a request may find unreachable before it fails, as in the gateway. */
constexpr std::size_t maxTriedEngines = 8;

/** Maximum number of runs of a request, including the first one. */
constexpr std::uint32_t maxRuns = 2;

/** Shape of the gamma distribution of sizes; some sizes are several times the mean. */
constexpr double sizeShape = 2;

/** Start of the simulated clock; non-zero, so that times before the start can be represented. */
constexpr core::time_point startTime{1h};

class simulation final : private placement_host
{
public:
    simulation(const experiment_plan &plan, const policy &selectedPolicy, double load)
        : m_plan(plan), m_load(load), m_random(plan.seed)
    {
        for (const engine_group &group : plan.engines)
            m_engines.insert(m_engines.end(), group.count, engine(group));
        m_placement = selectedPolicy.create(plan, *this);
        m_result.policy = selectedPolicy.name;
        m_result.load = load;
        m_firstEventTimes.resize(plan.requests.size());
        for (const request_profile &each : plan.requests)
            m_result.profiles.push_back({.name = each.name});
    }

    run_result run()
    {
        for (std::size_t i = 0; i < m_plan.requests.size(); ++i)
            scheduleArrival(i);
        for (const engine_outage &outage : m_plan.outages)
            scheduleOutage(outage);
        tick();
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        finish();
        return std::move(m_result);
    }

private:
    struct engine
    {
        explicit engine(const engine_group &group) : model(group) { }

        engine_model model;
        bool up = true;
        bool stepping = false;
        /** Increases with each crash, so that steps scheduled before it are dropped. */
        std::uint32_t incarnation = 0;
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

    struct flow
    {
        simulated_request request;
        bool running = false;
        std::size_t engine = 0;
        core::time_point startedAt{};
        core::duration first{};
    };

    enum class request_outcome : std::uint8_t { Completed, Refused, Failed };

    core::time_point now() const override { return m_now; }
    std::size_t actualLoad(std::size_t number) const override
    {
        return m_engines[number].model.load();
    }
    bool isUp(std::size_t number) const override { return m_engines[number].up; }

    void schedule(core::duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_order, std::move(action)});
    }

    core::duration length() const { return m_plan.length; }
    bool isMeasured(const simulated_request &request) const
    {
        return request.arrivedAt >= startTime + m_plan.warmUp;
    }

    double drawSize(double mean)
    {
        return std::gamma_distribution<double>(sizeShape, mean / sizeShape)(m_random);
    }

    void scheduleArrival(std::size_t profile)
    {
        const double rate = m_plan.requests[profile].perSecond * m_load;
        if (rate <= 0)
            return;
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(rate)(m_random));
        const auto delay = std::chrono::duration_cast<core::duration>(gap);
        if (m_now + delay >= startTime + length())
            return;
        schedule(delay, [this, profile] {
            arrive(profile);
            scheduleArrival(profile);
        });
    }

    void arrive(std::size_t profile)
    {
        const request_profile &spec = m_plan.requests[profile];
        flow arrived;
        arrived.request.id = ++m_lastId;
        arrived.request.profile = profile;
        arrived.request.node = m_random() % m_plan.nodes;
        arrived.request.arrivedAt = m_now;
        arrived.request.promptTokens = drawSize(spec.promptTokens);
        arrived.request.events = static_cast<std::uint32_t>(std::max(1.0, drawSize(spec.events)));
        const core::request_id id = arrived.request.id;
        if (isMeasured(arrived.request))
            ++m_result.profiles[profile].requested;
        const simulated_request request = arrived.request;
        m_flows.emplace(id, std::move(arrived));
        schedule(spec.timeout, [this, id] { end(id, request_outcome::Failed); });
        m_placement->onRequest(request);
    }

    void start(core::request_id id, std::size_t number) override
    {
        flow &started = m_flows.at(id);
        started.running = true;
        started.engine = number;
        started.startedAt = m_now;
        schedule(m_plan.messageDelay,
                 [this, id, number, at = m_now] { arriveAtEngine(id, number, at); });
    }

    /** Delivers a request to the engine, unless it has ended in the meantime. */
    void arriveAtEngine(core::request_id id, std::size_t number, core::time_point startedAt)
    {
        const auto found = m_flows.find(id);
        if (found == m_flows.end() || found->second.startedAt != startedAt)
            return;
        flow &arrived = found->second;
        engine &target = m_engines[number];
        if (!target.up) {
            schedule(m_plan.messageDelay, [this, id, startedAt] {
                const auto current = m_flows.find(id);
                if (current != m_flows.end() && current->second.startedAt == startedAt)
                    retry(current->second, attempt_result::Unreachable);
            });
            return;
        }
        ++arrived.request.runs;
        target.model.submit(id, arrived.request.promptTokens, arrived.request.events);
        if (isMeasured(arrived.request))
            m_result.maxRelativeLoad
                = std::max(m_result.maxRelativeLoad,
                           static_cast<double>(target.model.load()) / target.model.slots());
        step(number);
    }

    void step(std::size_t number)
    {
        engine &target = m_engines[number];
        if (target.stepping || target.model.idle())
            return;
        target.stepping = true;
        schedule(target.model.stepTime(), [this, number, incarnation = target.incarnation] {
            engine &working = m_engines[number];
            if (working.incarnation != incarnation)
                return;
            working.stepping = false;
            for (const engine_progress &each : working.model.step())
                schedule(m_plan.messageDelay, [this, each] { onProgress(each); });
            step(number);
        });
    }

    void onProgress(const engine_progress &progress)
    {
        const auto found = m_flows.find(progress.id);
        if (found == m_flows.end())
            return;
        flow &progressed = found->second;
        if (progress.firstEvent) {
            progressed.first = m_now - progressed.request.arrivedAt;
            m_placement->onFirstEvent(progressed.request, progressed.engine,
                                      m_now - progressed.startedAt);
        }
        if (progress.completed)
            end(progress.id, request_outcome::Completed);
    }

    /** Ends a failed attempt and retries the request at another engine if allowed. */
    void retry(flow &stopped, attempt_result result)
    {
        const core::request_id id = stopped.request.id;
        stopped.running = false;
        stopped.startedAt = {};
        stopped.request.triedEngines.push_back(stopped.engine);
        const simulated_request request = stopped.request;
        m_placement->onEnd(request, request.triedEngines.back(), result, {});
        const bool allowed = request.runs < maxRuns
                             && request.triedEngines.size() <= maxTriedEngines
                             && stopped.first == core::duration::zero();
        if (allowed)
            m_placement->onRequest(request);
        else
            end(id, request_outcome::Failed);
    }

    void refuse(core::request_id id) override
    {
        // Deferred, because the placement may still use the request.
        schedule(core::duration::zero(), [this, id] { end(id, request_outcome::Refused); });
    }

    void end(core::request_id id, request_outcome outcome)
    {
        const auto found = m_flows.find(id);
        if (found == m_flows.end()
            || (outcome == request_outcome::Refused && found->second.running))
            return;
        const flow completed = std::move(found->second);
        m_flows.erase(found);
        const simulated_request &request = completed.request;
        const request_profile &spec = m_plan.requests[request.profile];
        const bool onTime
            = outcome == request_outcome::Completed && completed.first <= spec.objective;
        if (request.runs > 0 && isMeasured(request)) {
            m_prefilledTokens += request.promptTokens;
            if (!onTime)
                m_wastedTokens += request.promptTokens;
        }
        if (isMeasured(request))
            recordOutcome(request, completed.first, outcome, onTime);
        if (completed.running) {
            m_engines[completed.engine].model.cancel(id);
            m_placement->onEnd(request, completed.engine,
                               outcome == request_outcome::Completed ? attempt_result::Served
                                                                     : attempt_result::Neutral,
                               m_now - completed.startedAt);
        }
        m_placement->onFinished(request);
    }

    void recordOutcome(const simulated_request &request, core::duration first,
                       request_outcome outcome, bool onTime)
    {
        profile_result &target = m_result.profiles[request.profile];
        const double worth = m_plan.requests[request.profile].worth;
        m_requestedWorth += worth;
        switch (outcome) {
        case request_outcome::Completed:
            ++(onTime ? target.onTime : target.late);
            m_worthOnTime += onTime ? worth : 0;
            m_firstEventTimes[request.profile].push_back(first);
            return;
        case request_outcome::Refused:
            ++target.refused;
            return;
        case request_outcome::Failed:
            ++target.failed;
            return;
        }
    }

    void scheduleOutage(const engine_outage &outage)
    {
        schedule(outage.at, [this, outage] {
            std::vector<std::size_t> up;
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                if (m_engines[i].up)
                    up.push_back(i);
            }
            std::ranges::shuffle(up, m_random);
            up.resize(std::min<std::size_t>(up.size(), outage.engines));
            for (const std::size_t number : up)
                crash(number, outage.length);
        });
    }

    void crash(std::size_t number, core::duration time)
    {
        engine &target = m_engines[number];
        target.up = false;
        target.stepping = false;
        ++target.incarnation;
        schedule(time, [this, number] { m_engines[number].up = true; });
        for (const core::request_id id : target.model.crash()) {
            const auto found = m_flows.find(id);
            if (found != m_flows.end())
                retry(found->second, attempt_result::Failed);
        }
    }

    void tick()
    {
        m_placement->onTick();
        if (m_now < startTime + length() || !m_flows.empty())
            schedule(tickInterval, [this] { tick(); });
    }

    void finish()
    {
        m_result.goodput = m_requestedWorth > 0 ? m_worthOnTime / m_requestedWorth : 0;
        m_result.wastedPrompt = m_prefilledTokens > 0 ? m_wastedTokens / m_prefilledTokens : 0;
        for (std::size_t i = 0; i < m_firstEventTimes.size(); ++i) {
            std::vector<core::duration> &firstEventTimes = m_firstEventTimes[i];
            if (firstEventTimes.empty())
                continue;
            std::ranges::sort(firstEventTimes);
            m_result.profiles[i].medianFirst = firstEventTimes[firstEventTimes.size() / 2];
            m_result.profiles[i].p99First = firstEventTimes[firstEventTimes.size() * 99 / 100];
        }
    }

    const experiment_plan &m_plan;
    double m_load;
    std::mt19937 m_random;
    core::time_point m_now = startTime;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<engine> m_engines;
    std::unique_ptr<placement> m_placement;
    std::unordered_map<core::request_id, flow> m_flows;
    core::request_id m_lastId = 0;
    run_result m_result;
    std::vector<std::vector<core::duration>> m_firstEventTimes;
    double m_requestedWorth = 0;
    double m_worthOnTime = 0;
    double m_prefilledTokens = 0;
    double m_wastedTokens = 0;
};

} // namespace

run_result simulate(const experiment_plan &plan, const policy &selectedPolicy, double load)
{
    return simulation(plan, selectedPolicy, load).run();
}

std::vector<run_result> simulateAll(const experiment_plan &plan, std::span<const std::string> names)
{
    std::vector<run_result> results;
    for (const double load : plan.loads) {
        for (const policy &each : policies()) {
            const bool wanted
                = names.empty() || std::ranges::find(names, std::string(each.name)) != names.end();
            if (wanted)
                results.push_back(simulate(plan, each, load));
        }
    }
    return results;
}

} // namespace comfreypass::experiment
