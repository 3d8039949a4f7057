#pragma once

#include "core/incarnation.h"
#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/permit_grant.h"
#include "scheduling/permit_request.h"
#include "scheduling/running_dispatch.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::scheduling {

/**
 * The entry node's own permits and dispatches, from the receipt of a permit to its release.
 * Not thread-safe.
 */
class local_dispatches
{
public:
    /** A permit of this node. */
    struct entry
    {
        permit_grant permit;
        core::node_identity grantor;
        running_dispatch dispatch;
        core::time_point validUntil{};
        /** True once bytes may have been sent to the engine. */
        bool started = false;
    };

    explicit local_dispatches(std::size_t capacity = 1'024);

    /**
     * Records a permit for a request of this node. Returns false if the table is full, the request
     * already has a permit, or the permit was finished before and this is a late copy; the permit
     * must then be released as not dispatched, unless it is the one recorded.
     */
    bool onGrant(const core::node_identity &grantor, const permit_grant &permit,
                 const permit_request &request, core::time_point now);

    /** Returns the permit of a request, or null. The pointer is valid until the next change. */
    const entry *find(core::request_id request) const;

    /**
     * Marks a permit as used. Returns false if it is unknown, already used, or past its validity
     * or its deadline. The caller must also check `vote_ledger::mayUse` at the same time.
     */
    bool start(core::request_id request, core::time_point now);

    /** Removes and returns a permit or an ended dispatch. */
    std::optional<entry> finish(core::request_id request);

    /** Removes and returns the unused permits whose validity or deadline has passed. */
    std::vector<entry> dropExpired(core::time_point now);

    /** Returns what a vote lists: running dispatches and permits that may still be used. */
    std::vector<running_dispatch> running(const core::upstream_name &upstream) const;

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    using permit_key = std::pair<core::incarnation, core::permit_id>;

    void recordFinished(const entry &item);

    std::size_t m_capacity;
    std::unordered_map<core::request_id, entry> m_entries;
    /** Recently finished permits; late copies may arrive while the release is in transit. */
    std::set<permit_key> m_finished;
    std::deque<permit_key> m_finishedOrder;
};

} // namespace comfreypass::scheduling
