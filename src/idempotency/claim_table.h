#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "idempotency/claim_outcome.h"
#include "idempotency/claim_reply.h"
#include "idempotency/claim_round.h"
#include "idempotency/claim_settings.h"
#include "idempotency/claim_start.h"
#include "idempotency/claim_step.h"
#include "idempotency/key_state.h"
#include "idempotency/request_key.h"
#include "idempotency/witness_token.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace comfreypass::idempotency {

/**
 * All claims of one node incarnation, and the keys that it owns or has dispatched.
 *
 * The states of a key are Free -> Claiming -> Owned -> Dispatched -> Finished. It returns to Free
 * when its round ends without a win, when it is abandoned before dispatch, or when its retention
 * ends. A key is dispatched only from Owned, so that each dispatch follows a newly won round. Not
 * thread-safe.
 */
class claim_table
{
public:
    claim_table(core::node_identity self, claim_settings settings = {});

    /**
     * Starts a round for a key that is Free. `repeat` is true if the caller reports that an earlier
     * attempt has no response or the response `unknown`. The outcome is then never notRun(), and
     * the node must also respond `unknown` if the start is Impossible or Full.
     */
    claim_start begin(const request_key &key, const witness_token &token, core::time_point deadline,
                      core::time_point now, bool repeat = false);

    /** Processes a reply; returns the outcome if it ends a round. */
    std::optional<claim_outcome> onReply(const core::node_identity &sender,
                                         const claim_reply &reply);

    /** Resends claims without a reply, ends rounds that have timed out and removes expired keys. */
    claim_step onTime(core::time_point now);

    /** Returns the time at which onTime() must be called next; none if no round is open. */
    std::optional<core::time_point> nextTime() const;

    key_state state(const request_key &key) const;

    /**
     * Owned -> Dispatched. Returns true once for each won round; the caller must then write the
     * request or count it as run. Returns false in every other state.
     */
    bool dispatch(const request_key &key, core::time_point now);

    /** Owned -> Free, for a request that was refused after the claim and before dispatch. */
    void abandonOwned(const request_key &key);

    /** Claiming -> Free, for a caller that has disconnected. Ignores late replies to the round. */
    void abandonRound(const request_key &key);

    /** Dispatched -> Finished. */
    void finish(const request_key &key);

    std::size_t openRounds() const noexcept { return m_keyOfRound.size(); }
    std::size_t size() const noexcept { return m_keys.size(); }

private:
    struct entry
    {
        key_state state = key_state::Claiming;
        std::uint64_t sequence = 0;
        bool repeat = false;
        std::optional<claim_round> round;
    };

    std::optional<claim_outcome> endIfDecided(const request_key &key);
    void removeExpiredKeys(core::time_point now);

    core::node_identity m_self;
    claim_settings m_settings;
    std::uint64_t m_lastSequence = 0;
    std::unordered_map<request_key, entry> m_keys;
    std::map<std::uint64_t, request_key> m_keyOfRound;
    /** Dispatched keys by the time at which they are removed if they have finished. */
    std::multimap<core::time_point, request_key> m_expiry;
};

} // namespace comfreypass::idempotency
