#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "idempotency/claim.h"
#include "idempotency/claim_reply.h"
#include "idempotency/request_key.h"
#include "idempotency/witness_settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace comfreypass::idempotency {

/**
 * Records of one witness: which node incarnation owns which key.
 *
 * The first owner of a key keeps it until the latest epoch of its claims has left the window of
 * accepted epochs. Claims for that epoch are refused from then on, so that no token admits a second
 * owner. Not thread-safe.
 */
class witness_store
{
public:
    /** `incarnation` is the incarnation of this node; epoch 0 begins at `started`. */
    witness_store(core::incarnation incarnation, core::time_point started,
                  witness_settings settings = {});

    /** Returns the current epoch, which new tokens contain. `now` must not decrease. */
    std::uint64_t epoch(core::time_point now) const;

    /**
     * Returns the reply to a claim: Accepted for the first owner, also for its repeated claims;
     * OwnedByOther for every other node; Refused if the claim is for another incarnation or for an
     * epoch outside the window, or if the store is full.
     */
    claim_reply onClaim(const core::node_identity &owner, const claim &message,
                        core::time_point now);

    /** Removes the records whose epoch is outside the window; onClaim() also does this. */
    void expire(core::time_point now);

    std::size_t size() const noexcept { return m_records.size(); }

private:
    struct record
    {
        core::node_identity owner;
        std::uint64_t epoch = 0;
    };

    bool inWindow(std::uint64_t named, std::uint64_t current) const;

    core::incarnation m_incarnation;
    core::time_point m_started;
    witness_settings m_settings;
    std::unordered_map<request_key, record> m_records;
    /** Keys by the latest epoch of their claims when they were added; a key may be in several
     * lists.
     */
    std::map<std::uint64_t, std::vector<request_key>> m_keysByEpoch;
};

} // namespace comfreypass::idempotency
