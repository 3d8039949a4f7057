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
 * Fetches newer sheets from neighbours that are ahead and answers neighbours that are behind. One
 * transfer runs at a time. Not thread-safe.
 */
class sheet_dissemination
{
public:
    static constexpr std::size_t chunkBytes = 16'384;
    /** Larger patches are replaced by chunks. Receivers drop patches of more than 60,000 bytes. */
    static constexpr std::size_t maxPatchBytes = 60'000;
    /** After so many requests without an answer the whole document is requested. */
    static constexpr std::uint32_t maxPatchTimeouts = 3;
    /** A neighbour whose document was not usable is not asked for the same one again before this.
     */
    static constexpr core::duration unusableRetryDelay = std::chrono::seconds(10);

    struct step
    {
        std::vector<outgoing_message> messages;
        /** Verdict on a document that arrived completely. */
        std::optional<sheet_store::offer_result> offered;
    };

    sheet_dissemination(sheet_store &store, membership_settings settings);

    /** A neighbour's key was seen in a ping or an ack. */
    step onPeerKey(const core::node_name &from, const sheet::sheet_key &key, core::time_point now);
    /** Repeats a request that was not answered, at another neighbour that is ahead if there is one.
     */
    step tick(core::time_point now);
    step onRequest(const core::node_name &from, const sheet_request &request) const;
    step onPatch(const core::node_name &from, const sheet_patch &patch, core::time_point now);
    step onChunk(const core::node_name &from, const sheet_chunk &chunk, core::time_point now);
    /** Drops what is known of a node that is dead. */
    void removePeer(const core::node_name &name);

    /** Greatest key that a neighbour has announced and this node does not have; none if up to date.
     */
    std::optional<sheet::sheet_key> wanted() const;

private:
    struct transfer
    {
        core::node_name from;
        sheet::sheet_key target;
        bool whole = false;
        /** Bytes of the whole document so far. */
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
    /** Keys of neighbours that are ahead. */
    std::map<core::node_name, sheet::sheet_key> m_peersAhead;
    /** Neighbours that did not answer since the last new sheet. */
    std::set<core::node_name> m_triedPeers;
    /** Neighbours whose whole document was not the announced sheet or not valid. */
    std::map<core::node_name, unusable_document> m_unusablePeers;
    /** True after a patch did not give the announced sheet. */
    bool m_requestWhole = false;
    /** Unanswered requests since the last new sheet. */
    std::uint32_t m_timeouts = 0;
    std::optional<transfer> m_transfer;
};

} // namespace comfreypass::membership
