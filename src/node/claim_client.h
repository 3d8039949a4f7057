#pragma once

#include "core/incarnation.h"
#include "core/time_point.h"
#include "idempotency/claim_settings.h"
#include "idempotency/claim_table.h"
#include "idempotency/response_store.h"
#include "idempotency/witness_store.h"
#include "node/claim_events.h"
#include "node/message_sender.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace comfreypass::node {

/**
 * Manages the idempotency claims of this node, its witness records and the stored responses that
 * it can replay. Not thread-safe.
 */
class claim_client
{
public:
    /** The sender must outlive the client. */
    claim_client(message_sender &sender, const core::node_identity &self, core::time_point start,
                 idempotency::claim_settings settings);

    /**
     * Starts a claim round for a key. After `Started`, `events` receives the outcome of the round;
     * after any other status it is not called.
     */
    idempotency::claim_start begin(const idempotency::request_key &key,
                                   const idempotency::witness_token &token,
                                   core::time_point deadline, std::weak_ptr<claim_events> events,
                                   core::time_point now, bool repeat);

    /** Checks the claim directly before a dispatch. Returns true once for each round won. */
    bool dispatch(const idempotency::request_key &key, core::time_point now);

    /** Abandons an open or a won round of a request that will not be dispatched. */
    void abandon(const idempotency::request_key &key);

    /** Records the end of a dispatch and stores the response, if given, for repeated requests. */
    void finish(const idempotency::request_key &key,
                std::optional<idempotency::stored_response> response);

    idempotency::key_state state(const idempotency::request_key &key) const;

    /** Returns the stored response to a request, or null. Valid until the next finish(). */
    const idempotency::stored_response *response(const idempotency::request_key &key);

    void onClaim(const core::node_identity &from, const idempotency::claim &message,
                 core::time_point now);
    void onReply(const core::node_identity &from, const idempotency::claim_reply &reply);
    void tick(core::time_point now);

    /** Returns the epoch under which witness tokens list this node. */
    std::uint64_t witnessEpoch(core::time_point now) const { return m_witness.epoch(now); }
    std::size_t witnessRecords() const noexcept { return m_witness.size(); }
    std::size_t openRounds() const noexcept { return m_table.openRounds(); }

private:
    void send(const std::vector<idempotency::outgoing_claim> &messages);
    void report(const idempotency::claim_outcome &outcome);

    message_sender &m_sender;
    idempotency::claim_table m_table;
    idempotency::witness_store m_witness;
    idempotency::response_store m_responses;
    std::unordered_map<idempotency::request_key, std::weak_ptr<claim_events>> m_events;
};

} // namespace comfreypass::node
