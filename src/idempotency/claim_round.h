#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "idempotency/claim_outcome.h"
#include "idempotency/claim_reply.h"
#include "idempotency/claim_settings.h"
#include "idempotency/outgoing_claim.h"
#include "idempotency/request_key.h"
#include "idempotency/witness_token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreypass::idempotency {

/** One attempt of a node to become the owner of a key. Not thread-safe. */
class claim_round
{
public:
    /**
     * Starts a round that ends at `now` plus the round timeout or at `deadline`, whichever is
     * earlier. The round fails immediately if the token names fewer witnesses than a majority.
     * `sequence` must be unique among the rounds of this incarnation.
     */
    claim_round(core::node_identity self, const request_key &key, const witness_token &token,
                std::uint64_t sequence, const claim_settings &settings, core::time_point now,
                core::time_point deadline);

    /** Returns the messages due at `now`: claims, then resends to witnesses without a reply. */
    std::vector<outgoing_claim> due(core::time_point now);

    /** Processes the reply of a witness. Ignores replies of other nodes and to other rounds. */
    void onReply(const core::node_identity &sender, const claim_reply &reply);

    /** Fails the round if its timeout has passed. */
    void onTime(core::time_point now);

    /** Returns the time at which due() or onTime() must be called next. */
    core::time_point nextTime() const noexcept;

    claim_outcome outcome() const;

private:
    struct ballot
    {
        witness_ref witness;
        std::optional<claim_result> result;
        core::node_identity owner;
    };

    bool isValidReply(const ballot &entry, const core::node_identity &sender,
                      const claim_reply &reply) const;
    void decide();

    core::node_identity m_self;
    request_key m_key;
    std::uint64_t m_sequence;
    core::duration m_resendAfter;
    core::time_point m_end;
    core::time_point m_nextSend;
    std::vector<ballot> m_ballots;
    claim_decision m_decision = claim_decision::Open;
};

} // namespace comfreypass::idempotency
