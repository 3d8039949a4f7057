#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "demo/demo_fleet.h"
#include "demo/demo_options.h"
#include "demo/demo_report.h"
#include "demo/member_client.h"
#include "demo/workload.h"
#include "transport/epoll_reactor.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace comfreypass::demo {

/**
 * Runs a fleet with simulated members under mixed load: a model engine restarts, a failure domain
 * is taken out of service and restored, an engine leaves and a node shuts down gracefully. Then
 * checks the invariants of the fleet. Not thread-safe.
 */
class demonstration
{
public:
    demonstration(const demo_options &options, demo_sheet document, std::ostream &progress);

    /** Runs the demonstration. Errors: Io, Unavailable if the fleet does not become ready. */
    core::result<demo_report> run();

private:
    struct step
    {
        /** Fraction of the load time after which the step runs. */
        double loadFraction;
        std::string announcement;
        std::function<void()> action;
    };

    core::result<void> startFleet();
    void generateLoad();
    void planSteps();
    demo_fleet::engine &lastModelEngine();
    void drainNode();
    void monitor();
    void monitorSheets();
    void checkClosedEngines();
    void runFor(core::duration time, const std::function<bool()> &done);
    void checkInvariants();
    void checkRequests();
    void checkEngines();
    std::string upstreamId(const member_response &response) const;

    demo_options m_options;
    std::ostream &m_progress;
    transport::epoll_reactor m_reactor;
    demo_fleet m_fleet;
    transport::http_client m_client;
    workload m_workload;
    std::unique_ptr<member_client> m_members;
    demo_report m_report;
    std::vector<step> m_steps;

    /**
     * Engine that must not receive new requests after `closedAt`; `received` is its request count
     * at the first check after that time, `lateRequests` the number of requests since.
     */
    struct closed_engine
    {
        core::time_point closedAt;
        std::optional<std::uint64_t> received;
        std::uint64_t lateRequests = 0;
    };
    std::map<core::engine_name, closed_engine> m_closedEngines;
    std::uint64_t m_lateDispatches = 0;
    std::uint64_t m_tierViolations = 0;
    std::uint64_t m_revisionReversals = 0;
    core::duration m_maxPropagationTime{};
    core::time_point m_sheetChangedAt;
    std::uint64_t m_prefillTokens = 0;
    std::uint64_t m_wastedPrefillTokens = 0;
    std::map<core::node_name, std::uint64_t> m_revisions;
    bool m_drained = false;
};

} // namespace comfreypass::demo
