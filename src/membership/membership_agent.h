#pragma once

#include "core/time_point.h"
#include "membership/agent_actions.h"
#include "membership/confirmation.h"
#include "membership/failure_detector.h"
#include "membership/live_view.h"
#include "membership/membership_settings.h"
#include "membership/overlay.h"
#include "membership/service_readers.h"
#include "membership/sheet_dissemination.h"
#include "membership/sheet_store.h"
#include "membership/update_queue.h"
#include "sheet/sheet_document.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::membership {

/**
 * Membership protocol and sheet of one node: connects view, overlay, failure detector and sheet
 * dissemination. Each step returns the messages and events for the owner to handle. Not
 * thread-safe.
 *
 * Messages from an older incarnation of the sender than the known one are dropped. The addresses of
 * receivers are available from view().record(name).
 */
class membership_agent
{
public:
    struct readiness
    {
        bool ready = false;
        /** Reason why the node is not ready; empty if it is ready. */
        std::string reason;
    };

    /** Precondition: `self.identity.incarnation` was created by makeIncarnation(). */
    membership_agent(const member &self, membership_settings settings, sheet::sheet_parser parser,
                     core::time_point now);
    membership_agent(const membership_agent &) = delete;
    membership_agent &operator=(const membership_agent &) = delete;

    /** Runs the periodic step. Called every membership_settings::tickInterval with a new random
     * number. */
    agent_actions tick(core::time_point now, std::uint64_t random);

    agent_actions onPing(const core::node_identity &from, const ping &message,
                         core::time_point now);
    agent_actions onAck(const core::node_identity &from, const ack &message, core::time_point now);
    agent_actions onViewSync(const core::node_identity &from, const view_sync &message,
                             core::time_point now);
    agent_actions onSheetRequest(const core::node_identity &from, const sheet_request &message,
                                 core::time_point now);
    agent_actions onSheetPatch(const core::node_identity &from, const sheet_patch &message,
                               core::time_point now);
    agent_actions onSheetChunk(const core::node_identity &from, const sheet_chunk &message,
                               core::time_point now);

    /** Replaces the platform's instance list. */
    agent_actions onInstanceList(std::span<const listed_node> nodes, core::time_point now);
    /**
     * Offers the value of the configuration service to the store. `asOf` is a local time at which
     * the service is known to have held it: the send time of the read.
     */
    agent_actions onServiceValue(std::string_view text, std::uint64_t serviceIndex,
                                 core::time_point asOf, core::time_point now);
    /** Records that the service's value with this index has not changed. */
    agent_actions onServiceUnchanged(std::uint64_t serviceIndex, core::time_point asOf,
                                     core::time_point now);
    /** Records that a read failed or timed out. */
    void onServiceFailure(core::time_point now);
    /** Announces that this node is leaving; it continues to ack pings. */
    agent_actions beginLeaving(core::time_point now);
    /** Sets this node's witness epoch. */
    void setWitnessEpoch(std::uint64_t epoch, core::time_point now);

    const member &self() const noexcept { return m_view.self(); }
    const live_view &view() const noexcept { return m_view; }
    const std::vector<core::node_name> &neighbours() const noexcept
    {
        return m_overlay.neighbours();
    }
    const service_readers &readers() const noexcept { return m_readers; }
    /** Returns the sheet document in force; null before the first one. */
    std::shared_ptr<const sheet::sheet_document> document() const noexcept
    {
        return m_store.current();
    }
    /** Returns the sheet in force; null before the first one. */
    std::shared_ptr<const sheet::sheet> currentSheet() const noexcept;
    const sheet_store &store() const noexcept { return m_store; }

    /** Returns whether the node has a sheet it may serve with, and if not, why. */
    readiness ready(core::time_point now) const;
    /**
     * Returns true if this node may send requests to upstreams: it has a sheet, was not superseded,
     * is not paused, and either its confirmation is recent enough, it reaches more than half of the
     * listed nodes, or the sheet's policy allows serving unconfirmed.
     */
    bool mayDispatch(core::time_point now) const;
    /** Returns the age of the confirmation that no newer sheet exists; empty if there is none. */
    std::optional<core::duration> confirmationAge(core::time_point now) const;
    /** Returns true if the process was paused and has not ticked since. */
    bool wasPaused(core::time_point now) const { return m_detector.wasPaused(now); }
    /** Returns the end of the last pause. Leases and lease grants from before it have expired. */
    std::optional<core::time_point> pausedUntil() const noexcept
    {
        return m_detector.pausedUntil();
    }
    bool superseded() const noexcept { return m_superseded; }

    /**
     * Returns up to `count` members for callers: alive, with their failure domain in service,
     * spread over as many domains as possible, starting with this node's domain.
     */
    std::vector<member> chooseAddresses(std::size_t count, std::uint64_t random,
                                        core::time_point now) const;
    /** As chooseAddresses(), for witnesses; the records contain incarnation and witness epoch. */
    std::vector<member> chooseWitnesses(std::size_t count, std::uint64_t random,
                                        core::time_point now) const;

private:
    /** Returns false for a message from a past incarnation or with this node's own name. */
    bool acceptSender(const core::node_identity &from) const;
    bool isKnown(const core::node_identity &from) const;
    void mergeUpdates(std::span<const member> updates, bool fromSync, core::time_point now,
                      agent_actions &actions);
    void mergeUpdate(const member &update, bool fromSync, core::time_point now,
                     agent_actions &actions);
    void onSuperseded(const member &update, core::time_point now, agent_actions &actions);
    void onStateChange(const member &record, member_state before, core::time_point now,
                       agent_actions &actions);
    void markSuspect(std::span<const core::node_name> names, core::time_point now,
                     agent_actions &actions);
    void expireSuspicions(std::span<const core::node_name> names, core::time_point now,
                          agent_actions &actions);
    std::vector<member> updatesFor(const core::node_name &to, std::uint64_t peerDigest,
                                   core::time_point now);
    void pingNeighbours(core::time_point now, agent_actions &actions);
    void sendPing(const core::node_name &to, core::time_point now, agent_actions &actions);
    void sendView(const core::node_name &to, bool replyRequested, core::time_point now,
                  agent_actions &actions);
    void syncView(core::time_point now, std::uint64_t random, agent_actions &actions);
    void pingDeadMember(core::time_point now, std::uint64_t random, agent_actions &actions);
    void rebuildTopology(core::time_point now, std::uint64_t random);
    void applyStep(sheet_dissemination::step step, const core::node_identity &from,
                   core::time_point now, agent_actions &actions);
    void reportOffer(const sheet_store::offer_result &result, const core::node_identity &from,
                     core::time_point now, agent_actions &actions);
    bool majorityReachable(core::time_point now) const;
    void queueUpdate(const core::node_name &name);
    bool inService(const core::domain_name &domain) const;

    membership_settings m_settings;
    core::time_point m_startedAt;
    live_view m_view;
    overlay m_overlay;
    failure_detector m_detector;
    update_queue m_updates;
    sheet_store m_store;
    sheet_dissemination m_dissemination;
    confirmation m_confirmation;
    service_readers m_readers;
    /** Last received view digest of each neighbour. */
    std::map<core::node_name, std::uint64_t> m_peerDigests;
    std::optional<std::uint64_t> m_topologyVersion;
    core::time_point m_nextViewSync;
    core::time_point m_nextDeadProbe;
    core::time_point m_nextEpochRefresh;
    core::time_point m_nextRemoval;
    core::time_point m_nextFirstSync;
    std::uint64_t m_readersDigest = 0;
    bool m_readersSynced = false;
    /** Hash of the last rejected service value, which is not parsed and reported again. */
    std::optional<std::uint64_t> m_rejectedValueHash;
    std::optional<core::time_point> m_firstAckAt;
    /** True once a neighbour's view digest equalled this node's. */
    bool m_viewSynced = false;
    bool m_wasReady = false;
    bool m_superseded = false;
};

} // namespace comfreypass::membership
