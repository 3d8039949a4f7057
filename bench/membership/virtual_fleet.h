#pragma once

#include "membership/membership_agent.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace comfreypass::bench {

/**
 * Runs membership agents in virtual time with an in-memory network and a configuration service that
 * can be down or stale. Runs are deterministic for a given seed. Not thread-safe.
 */
class virtual_fleet
{
public:
    struct options
    {
        std::size_t nodes = 8;
        std::size_t domains = 4;
        core::duration minDelay = std::chrono::microseconds(500);
        core::duration maxDelay = std::chrono::microseconds(2'500);
        /** Fraction of messages that are lost. */
        double loss = 0;
        std::uint64_t seed = 1;
        membership::membership_settings settings;
    };

    struct traffic
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    using event_handler
        = std::function<void(std::size_t node, const membership::membership_event &event)>;

    explicit virtual_fleet(options fleetOptions);

    /** Processes all events in the next `duration` of virtual time. */
    void run(core::duration duration);
    core::time_point now() const noexcept { return m_now; }
    std::size_t size() const noexcept { return m_nodes.size(); }

    void start(std::size_t node);
    void kill(std::size_t node);
    /** Pauses a node; events for it are delivered after the pause. */
    void pause(std::size_t node, core::duration duration);
    /** Assigns a node to a partition; nodes with different group numbers cannot communicate. */
    void setGroup(std::size_t node, int group) { m_nodes[node].group = group; }
    /** Publishes a text as the service's value with the next index. */
    void publish(std::string text) { m_publishedSheets.push_back(std::move(text)); }
    /** Sets how many published values a node sees at the service; empty if it is down for the node.
     */
    void setServiceView(std::function<std::optional<std::size_t>(std::size_t node)> view)
    {
        m_serviceView = std::move(view);
    }
    void setEventHandler(event_handler handler) { m_eventHandler = std::move(handler); }

    bool running(std::size_t node) const { return m_nodes[node].agent != nullptr; }
    bool paused(std::size_t node) const { return m_nodes[node].pausedUntil > m_now; }
    int group(std::size_t node) const { return m_nodes[node].group; }
    membership::membership_agent &agent(std::size_t node) { return *m_nodes[node].agent; }
    std::size_t published() const noexcept { return m_publishedSheets.size(); }
    std::uint64_t serviceCalls() const noexcept { return m_serviceCalls; }
    const traffic &sent(std::size_t node) const { return m_nodes[node].sent; }
    void resetTraffic();

    /** Returns a sheet with domains domain-0 to domain-(n-1), those in `out` out of service. */
    static std::string makeSheet(std::uint64_t revision, std::size_t domains,
                                 const std::vector<std::size_t> &out, std::size_t teams = 0,
                                 std::size_t changedTeams = 0);
    /** Parses the output of makeSheet(). */
    static core::result<std::shared_ptr<const sheet::sheet>> parseSheet(std::string_view text);

private:
    struct tick_event
    {
        std::uint64_t startNumber = 0;
    };
    struct delivery
    {
        core::node_identity from;
        int fromGroup = 0;
        membership::membership_message message;
    };
    struct service_reply
    {
        std::uint64_t startNumber = 0;
        std::optional<std::size_t> version;
        core::time_point asOf;
    };
    struct scheduled_event
    {
        core::time_point time;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::variant<tick_event, delivery, service_reply> payload;
    };
    struct runs_later
    {
        bool operator()(const scheduled_event &left, const scheduled_event &right) const
        {
            return std::tie(left.time, left.order) > std::tie(right.time, right.order);
        }
    };
    struct node_slot
    {
        std::unique_ptr<membership::membership_agent> agent;
        std::uint64_t startNumber = 0;
        std::uint64_t knownIndex = 0;
        core::time_point pausedUntil;
        int group = 0;
        traffic sent;
    };

    void schedule(core::duration delay, std::size_t node,
                  std::variant<tick_event, delivery, service_reply> payload);
    void handle(scheduled_event &item);
    void handleTick(std::size_t node, std::uint64_t startNumber);
    void handleDelivery(std::size_t node, const delivery &item);
    void handleReply(std::size_t node, const service_reply &item);
    void applyActions(std::size_t node, membership::agent_actions actions);
    core::duration delay();

    options m_options;
    std::mt19937_64 m_random;
    core::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::uint64_t m_startCount = 0;
    std::uint64_t m_serviceCalls = 0;
    std::vector<node_slot> m_nodes;
    std::vector<membership::listed_node> m_instanceList;
    std::vector<std::string> m_publishedSheets;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, runs_later> m_queue;
    std::function<std::optional<std::size_t>(std::size_t)> m_serviceView;
    event_handler m_eventHandler;
};

} // namespace comfreypass::bench
