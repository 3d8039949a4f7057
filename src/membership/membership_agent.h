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
 * Membership and sheet of one node: connects view, overlay, failure detector and sheet
 * dissemination. Each step returns what the owner sends and reports. Not thread-safe.
 *
 * A message whose sender incarnation is older than the known one is dropped. Addresses of receivers
 * are found with view().record(name).
 */
class membership_agent
{
public:
    struct readiness
    {
        bool ready = false;
        /** Why the node is not ready; empty if it is. */
        std::string reason;
    };

    /** `self.identity.incarnation` comes from makeIncarnation(). */
    membership_agent(const member &self, membership_settings settings, sheet::sheet_parser parser,
                     core::time_point now);
    membership_agent(const membership_agent &) = delete;
    membership_agent &operator=(const membership_agent &) = delete;

    /** Called every membership_settings::tickInterval with a fresh random number. */
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

    /** Takes the platform's instance list. */
    agent_actions onInstanceList(std::span<const listed_node> nodes, core::time_point now);
    /**
     * Takes the service's value. `asOf` is a local time at which the service is known to have held
     * it: the send time of the read.
     */
    agent_actions onServiceValue(std::string_view text, std::uint64_t serviceIndex,
                                 core::time_point asOf, core::time_point now);
    /** The service answered that the value with this index has not changed. */
    agent_actions onServiceUnchanged(std::uint64_t serviceIndex, core::time_point asOf,
                                     core::time_point now);
    /** A read failed or timed out. */
    void onServiceFailure(core::time_point now);
    /** Spreads that this node leaves; it keeps answering pings. */
    agent_actions beginLeaving(core::time_point now);
    /** Sets this node's own witness epoch. */
    void setWitnessEpoch(std::uint64_t epoch, core::time_point now);

    const member &self() const noexcept { return m_view.self(); }
    const live_view &view() const noexcept { return m_view; }
    const std::vector<core::node_name> &neighbours() const noexcept
    {
        return m_overlay.neighbours();
    }
    const service_readers &readers() const noexcept { return m_readers; }
    /** The document in force; null before the first one. */
    std::shared_ptr<const sheet::sheet_document> document() const noexcept
    {
        return m_store.current();
    }
    /** The sheet in force; null before the first one. */
    std::shared_ptr<const sheet::sheet> currentSheet() const noexcept;
    const sheet_store &store() const noexcept { return m_store; }

    /** Whether the node has a sheet to serve with. */
    readiness ready(core::time_point now) const;
    /**
     * True if this node may send requests to upstreams: it was not superseded or paused, and its
     * confirmation is young enough, its live component holds more than half of the listed nodes, or
     * the sheet's policy says serve.
     */
    bool mayDispatch(core::time_point now) const;
    /** Age of the knowledge that no newer sheet exists; none if there is none. */
    std::optional<core::duration> confirmationAge(core::time_point now) const;
    /** True if the process was paused and has not ticked since. */
    bool wasPaused(core::time_point now) const { return m_detector.wasPaused(now); }
    /** End of the last pause; leases and promises from before it have expired. */
    std::optional<core::time_point> pausedUntil() const noexcept
    {
        return m_detector.pausedUntil();
    }
    bool superseded() const noexcept { return m_superseded; }

    /**
     * Up to `count` members for callers: alive, their failure domain in service, in different
     * domains as far as there are enough, this node's domain first.
     */
    std::vector<member> chooseAddresses(std::size_t count, std::uint64_t random,
                                        core::time_point now) const;
    /** As chooseAddresses(), for witnesses; records carry incarnation and witness epoch. */
    std::vector<member> chooseWitnesses(std::size_t count, std::uint64_t random,
                                        core::time_point now) const;

private:
    /** False for a message of a past incarnation or of this node's own name. */
    bool acceptSender(const core::node_identity &from) const;
    bool isKnown(const core::node_identity &from) const;
    void mergeUpdates(std::span<const member> updates, bool fromSync, core::time_point now,
                      agent_actions &actions);
    void mergeOne(const member &update, bool fromSync, core::time_point now,
                  agent_actions &actions);
    void onSuperseded(const member &update, core::time_point now, agent_actions &actions);
    void onStateChange(const member &record, member_state before, core::time_point now,
                       agent_actions &actions);
    void suspect(std::span<const core::node_name> names, core::time_point now,
                 agent_actions &actions);
    void expireSuspicions(std::span<const core::node_name> names, core::time_point now,
                          agent_actions &actions);
    std::vector<member> updatesFor(const core::node_name &to, std::uint64_t theirDigest,
                                   core::time_point now);
    void pingNeighbours(core::time_point now, agent_actions &actions);
    void sendPing(const core::node_name &to, core::time_point now, agent_actions &actions);
    void sendView(const core::node_name &to, bool answerWanted, core::time_point now,
                  agent_actions &actions);
    void syncView(core::time_point now, std::uint64_t random, agent_actions &actions);
    void probeDead(core::time_point now, std::uint64_t random, agent_actions &actions);
    void rebuildTopology(core::time_point now, std::uint64_t random);
    void takeStep(sheet_dissemination::step step, const core::node_identity &from,
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
    /** View digests of neighbours as last heard. */
    std::map<core::node_name, std::uint64_t> m_peerDigests;
    std::optional<std::uint64_t> m_topologyVersion;
    core::time_point m_nextViewSync;
    core::time_point m_nextDeadProbe;
    core::time_point m_nextEpochRefresh;
    core::time_point m_nextRemoval;
    core::time_point m_nextFirstSync;
    std::uint64_t m_readersDigest = 0;
    bool m_readersSynced = false;
    /** Hash of the service's value that was last rejected; it is not parsed and reported again. */
    std::optional<std::uint64_t> m_rejectedValue;
    std::optional<core::time_point> m_firstAnswerAt;
    /** True once a neighbour had the same view. */
    bool m_synced = false;
    bool m_wasReady = false;
    bool m_superseded = false;
};

} // namespace comfreypass::membership
