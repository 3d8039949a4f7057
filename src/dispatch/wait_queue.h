#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace comfreypass::dispatch {

/** A request that is queued until an engine has a free slot. */
struct waiting_request
{
    core::request_id id = 0;
    std::uint32_t priority = 0;
    /** Latest start time with which the request is expected to meet its latency objective. */
    core::time_point objectiveAt{};
    /** Time at which the request is refused. */
    core::time_point queueDeadline{};
    /** The request runs at an engine that it wants to leave. */
    bool isRunning = false;
};

/**
 * Requests of one upstream that are queued at this node.
 *
 * Requests with a higher priority are always first. Within a priority, requests that can still meet
 * their objective precede those that cannot, so that one burst does not make all later requests
 * late; the late ones follow in order of arrival. Not thread-safe.
 */
class wait_queue
{
public:
    void push(const waiting_request &request);

    /** Returns the next request; nothing if the queue is empty. */
    std::optional<waiting_request> next(core::time_point now) const;

    /** Returns the ids of all requests in the order in which slots are offered to them. */
    std::vector<core::request_id> inOrder(core::time_point now) const;

    /** Removes a request; returns false if it is not queued. */
    bool remove(core::request_id id);

    /** Removes and returns the requests whose deadline has passed. */
    std::vector<waiting_request> takeExpired(core::time_point now);

    std::size_t size() const noexcept { return m_size; }
    bool empty() const noexcept { return m_size == 0; }

    /** Returns the number of requests that a new one of this priority may not overtake. */
    std::size_t ahead(std::uint32_t priority) const noexcept;

    /** Returns the number of queued requests with exactly this priority. */
    std::size_t countOf(std::uint32_t priority) const noexcept;

    /** Returns the highest priority of the queued requests; nothing if the queue is empty. */
    std::optional<std::uint32_t> highestPriority() const noexcept;

private:
    /** Requests by priority, in order of arrival; never contains empty lists. */
    std::map<std::uint32_t, std::deque<waiting_request>> m_byPriority;
    std::size_t m_size = 0;
};

} // namespace comfreypass::dispatch
