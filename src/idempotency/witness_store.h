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
 * Records of one witness: which node incarnation owns which request.
 *
 * The first owner of a key keeps it until the latest epoch that a claim named for the key is out of
 * the window. As claims for such an epoch are refused from then on, no token lets a second owner
 * in. Not thread-safe.
 */
class witness_store
{
public:
    /** `incarnation` is the incarnation of this node; epoch 0 begins at `started`. */
    witness_store(core::incarnation incarnation, core::time_point started,
                  witness_settings settings = {});

    /** The present epoch, which new tokens name. `now` must not run backwards. */
    std::uint64_t epoch(core::time_point now) const;

    /**
     * Answers a claim: Accepted for the first owner and for its repeats, OwnedByOther for everybody
     * else, Refused when the claim names another incarnation or an epoch outside the window, or
     * when the store is full.
     */
    claim_reply onClaim(const core::node_identity &owner, const claim &message,
                        core::time_point now);

    /** Drops the records whose epoch is out of the window; onClaim() does so too. */
    void expire(core::time_point now);

    std::size_t size() const noexcept { return m_records.size(); }

private:
    struct record
    {
        core::node_identity owner;
        std::uint64_t epoch = 0;
    };

    bool inWindow(std::uint64_t named, std::uint64_t present) const;

    core::incarnation m_incarnation;
    core::time_point m_started;
    witness_settings m_settings;
    std::unordered_map<request_key, record> m_records;
    /** Keys by the epoch that was latest when they were added; a key may be in several lists. */
    std::map<std::uint64_t, std::vector<request_key>> m_keysByEpoch;
};

} // namespace comfreypass::idempotency
