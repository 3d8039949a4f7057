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

/** A request that waits for a free slot at an engine. */
struct waiting_request
{
    core::request_id id = 0;
    std::uint32_t priority = 0;
    /** Started later, it is expected to miss its latency objective. */
    core::time_point objectiveAt{};
    /** It is refused then. */
    core::time_point queueDeadline{};
};

/**
 * Requests of one upstream that wait at this node.
 *
 * A more urgent request always goes first. Within a priority, requests that can still meet their
 * objective go before those that cannot, so that one burst does not make all later requests late;
 * the late ones follow in the order of arrival. Not thread-safe.
 */
class wait_queue
{
public:
    void push(const waiting_request &request);

    /** The request that goes next; nothing if the queue is empty. */
    std::optional<waiting_request> next(core::time_point now) const;

    /** Removes a request; false if it does not wait. */
    bool remove(core::request_id id);

    /** Removes and returns the requests that have waited to the end of their time. */
    std::vector<waiting_request> takeExpired(core::time_point now);

    std::size_t size() const noexcept { return m_size; }
    bool empty() const noexcept { return m_size == 0; }

    /** Waiting requests that go before a new one of this priority. */
    std::size_t ahead(std::uint32_t priority) const noexcept;

    /** Priority of the most urgent waiting request; nothing if the queue is empty. */
    std::optional<std::uint32_t> highestPriority() const noexcept;

private:
    /** From the priority to the requests in the order of arrival; no empty lists. */
    std::map<std::uint32_t, std::deque<waiting_request>> m_byPriority;
    std::size_t m_size = 0;
};

} // namespace comfreypass::dispatch
