#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "membership/membership_settings.h"
#include "membership/outgoing_message.h"
#include "membership/sheet_store.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace comfreypass::membership {

/**
 * Fetches newer sheets from neighbours that are ahead and serves neighbours that are behind. One
 * transfer runs at a time. Not thread-safe.
 */
class sheet_dissemination
{
public:
    static constexpr std::size_t chunkBytes = 16'384;
    /** Larger patches are dropped by receivers; the document is sent in chunks instead. */
    static constexpr std::size_t maxPatchBytes = 60'000;
    /** Number of requests without a reply after which the whole document is requested. */
    static constexpr std::uint32_t maxPatchTimeouts = 3;
    /** Minimum delay before an unusable document is requested again from the same neighbour. */
    static constexpr core::duration unusableRetryDelay = std::chrono::seconds(10);

    struct step
    {
        std::vector<outgoing_message> messages;
        /** Result of offering a completely received document to the store. */
        std::optional<sheet_store::offer_result> offered;
    };

    sheet_dissemination(sheet_store &store, membership_settings settings);

    /** Handles a neighbour's key from a ping or an ack. */
    step onPeerKey(const core::node_name &from, const sheet::sheet_key &key, core::time_point now);
    /** Retries a request without a reply, at another neighbour that is ahead if there is one. */
    step tick(core::time_point now);
    step onRequest(const core::node_name &from, const sheet_request &request) const;
    step onPatch(const core::node_name &from, const sheet_patch &patch, core::time_point now);
    step onChunk(const core::node_name &from, const sheet_chunk &chunk, core::time_point now);
    /** Removes the state of a dead node and cancels a transfer from it. */
    void removePeer(const core::node_name &name);

    /** Returns the greatest key announced by a neighbour that this node does not have; empty if up
     * to date. */
    std::optional<sheet::sheet_key> wanted() const;

private:
    struct transfer
    {
        core::node_name from;
        sheet::sheet_key target;
        bool whole = false;
        /** Received bytes of the whole document. */
        std::string bytes;
        core::time_point lastProgress;
    };

    struct unusable_document
    {
        sheet::sheet_key key;
        core::time_point until;
    };

    step request(core::time_point now);
    step finishTransfer(sheet_store::offer_result result, const core::node_name &from,
                        const sheet::sheet_key &target, core::time_point now);

    sheet_store &m_store;
    membership_settings m_settings;
    /** Announced keys of neighbours that are ahead. */
    std::map<core::node_name, sheet::sheet_key> m_peersAhead;
    /** Neighbours that did not reply since the last new sheet. */
    std::set<core::node_name> m_triedPeers;
    /** Neighbours whose whole document was invalid or not the announced sheet. */
    std::map<core::node_name, unusable_document> m_unusablePeers;
    /** True after a patch did not produce the announced sheet or requests timed out repeatedly. */
    bool m_requestWhole = false;
    /** Requests without a reply since the last new sheet. */
    std::uint32_t m_timeouts = 0;
    std::optional<transfer> m_transfer;
};

} // namespace comfreypass::membership
