#include "membership/membership_agent.h"

#include "core/hash.h"
#include "membership/incarnation_order.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace comfreypass::membership {

namespace {

/** Maximum number of records in a view_sync message, about 6 KB. */
constexpr std::size_t maxMembersPerSync = 64;
/** Copies of an update per neighbour, so that it survives the loss of one message. */
constexpr std::uint32_t copiesPerNeighbour = 2;
/** Acks to pings older than this are ignored as outdated. */
constexpr core::duration maxAckAge = std::chrono::seconds(10);
constexpr core::duration removalCheckInterval = std::chrono::seconds(1);
/** Interval at which a starting node requests a neighbour's view until the views match. */
constexpr core::duration firstSyncRetryInterval = std::chrono::seconds(1);
/** Delay until a view sync after a member returned, which merges the sides of a partition sooner.
 */
constexpr core::duration syncDelayAfterReturn = std::chrono::seconds(1);

/** Removes the addresses, which receivers know, from suspect and dead records to save bytes. */
member withoutAddresses(member record)
{
    if (record.state == member_state::Suspect || record.state == member_state::Dead) {
        record.peerAddress.clear();
        record.callerAddress.clear();
        record.domain = {};
    }
    return record;
}

std::uint64_t deriveRandom(std::uint64_t random, std::string_view purpose)
{
    return core::hash64(purpose, random);
}

} // namespace

membership_agent::membership_agent(const member &self, membership_settings settings,
                                   sheet::sheet_parser parser, core::time_point now)
    : m_settings(settings), m_startedAt(now), m_view(self, settings, now),
      m_overlay(self.identity.name), m_detector(settings, now), m_store(std::move(parser)),
      m_dissemination(m_store, settings), m_readers(self.identity.name, settings),
      m_nextViewSync(now + settings.viewSyncInterval), m_nextDeadProbe(now),
      m_nextEpochRefresh(now), m_nextRemoval(now), m_nextFirstSync(now)
{ }

agent_actions membership_agent::tick(core::time_point now, std::uint64_t random)
{
    agent_actions actions;
    if (m_superseded)
        return actions;
    rebuildTopology(now, random);

    const auto step = m_detector.tick(now);
    if (step.paused) {
        m_confirmation.expire(now);
        actions.events.push_back({event_kind::Paused, self().identity, {}, ""});
    }
    markSuspect(step.newSuspects, now, actions);
    expireSuspicions(step.expiredSuspicions, now, actions);
    for (const core::node_name &name : step.toPing)
        sendPing(name, now, actions);
    pingDeadMember(now, deriveRandom(random, "probe"), actions);
    syncView(now, deriveRandom(random, "sync"), actions);
    applyStep(m_dissemination.tick(now), {}, now, actions);

    if (now >= m_nextRemoval) {
        m_nextRemoval = now + removalCheckInterval;
        for (const core::node_name &name : m_view.removeExpired(now)) {
            m_updates.erase(name);
            actions.events.push_back({event_kind::Removed, {name, 0}, {}, ""});
        }
    }
    actions.readService = m_readers.shouldRead(now, deriveRandom(random, "read"),
                                               m_confirmation.age(now), m_view.liveCount());
    m_wasReady = m_wasReady || ready(now).ready;
    return actions;
}

void membership_agent::rebuildTopology(core::time_point now, std::uint64_t random)
{
    const bool topologyChanged = m_topologyVersion != m_view.topologyVersion();
    if (topologyChanged) {
        m_topologyVersion = m_view.topologyVersion();
        m_overlay.rebuild(m_view.reachableNames());
        m_detector.setNeighbours(m_overlay.neighbours(), now, random);
        const auto &neighbours = m_overlay.neighbours();
        std::erase_if(m_peerDigests, [&neighbours](const auto &item) {
            return !std::binary_search(neighbours.begin(), neighbours.end(), item.first);
        });
    }
    const bool sameReaders
        = m_readersSynced == m_viewSynced && m_readersDigest == m_view.digest() && !topologyChanged;
    if (sameReaders)
        return;
    m_readersDigest = m_view.digest();
    m_readersSynced = m_viewSynced;
    // A starting node does not know the other nodes yet. Without the listed names, every node of a
    // starting fleet would choose itself as a reader.
    m_readers.choose(m_viewSynced ? m_view.live() : m_view.liveOrListed());
}

bool membership_agent::acceptSender(const core::node_identity &from) const
{
    if (m_superseded || from.name == self().identity.name || from.incarnation == 0)
        return false;
    const member *known = m_view.record(from.name);
    return known == nullptr || from.incarnation >= known->identity.incarnation;
}

bool membership_agent::isKnown(const core::node_identity &from) const
{
    const member *known = m_view.record(from.name);
    return known != nullptr && known->identity == from;
}

agent_actions membership_agent::onPing(const core::node_identity &from, const ping &message,
                                       core::time_point now)
{
    agent_actions actions;
    if (!acceptSender(from)) {
        const auto known = m_view.find(from.name, now);
        if (known && known->identity.incarnation > from.incarnation && !m_superseded) {
            // Notifies a process that was replaced, or that started after its clock was set back.
            actions.messages.push_back(
                {from.name, ack{message.sequence, m_view.digest(), {}, {*known}, {}}});
        }
        return actions;
    }
    mergeUpdates(message.updates, false, now, actions);
    if (isKnown(from))
        m_peerDigests[from.name] = message.viewDigest;

    ack reply;
    reply.sequence = message.sequence;
    reply.viewDigest = m_view.digest();
    reply.sheet = m_store.key();
    reply.updates = updatesFor(from.name, message.viewDigest, now);
    reply.confirmationAge = m_confirmation.age(now);
    actions.messages.push_back({from.name, std::move(reply)});
    if (isKnown(from))
        applyStep(m_dissemination.onPeerKey(from.name, message.sheet, now), from, now, actions);
    return actions;
}

agent_actions membership_agent::onAck(const core::node_identity &from, const ack &message,
                                      core::time_point now)
{
    agent_actions actions;
    if (!acceptSender(from))
        return actions;
    mergeUpdates(message.updates, false, now, actions);
    if (isKnown(from))
        m_peerDigests[from.name] = message.viewDigest;

    const core::time_point sentAt{core::duration(static_cast<std::int64_t>(message.sequence))};
    if (sentAt > now || now - sentAt > maxAckAge || m_superseded)
        return actions;
    m_detector.onAck(from.name, sentAt);
    const member *known = m_view.record(from.name);
    // The suspicion of a leaving member exists only in its neighbours' failure detectors, so an
    // ack is enough to end it.
    if (known != nullptr && known->state == member_state::Leaving)
        m_detector.endSuspicion(from.name, true);
    if (!m_firstAckAt)
        m_firstAckAt = now;

    if (isKnown(from))
        applyStep(m_dissemination.onPeerKey(from.name, message.sheet, now), from, now, actions);
    m_confirmation.onAck(message.sheet, m_store.key(), message.confirmationAge, sentAt);
    m_viewSynced = m_viewSynced || message.viewDigest == m_view.digest();
    if (!m_viewSynced && now >= m_nextFirstSync) {
        m_nextFirstSync = now + firstSyncRetryInterval;
        sendView(from.name, true, now, actions);
    }
    return actions;
}

agent_actions membership_agent::onViewSync(const core::node_identity &from,
                                           const view_sync &message, core::time_point now)
{
    agent_actions actions;
    if (!acceptSender(from))
        return actions;
    mergeUpdates(message.members, true, now, actions);
    if (message.replyRequested)
        sendView(from.name, false, now, actions);
    return actions;
}

agent_actions membership_agent::onSheetRequest(const core::node_identity &from,
                                               const sheet_request &message, core::time_point now)
{
    agent_actions actions;
    if (acceptSender(from) && isKnown(from))
        applyStep(m_dissemination.onRequest(from.name, message), from, now, actions);
    return actions;
}

agent_actions membership_agent::onSheetPatch(const core::node_identity &from,
                                             const sheet_patch &message, core::time_point now)
{
    agent_actions actions;
    if (acceptSender(from) && isKnown(from))
        applyStep(m_dissemination.onPatch(from.name, message, now), from, now, actions);
    return actions;
}

agent_actions membership_agent::onSheetChunk(const core::node_identity &from,
                                             const sheet_chunk &message, core::time_point now)
{
    agent_actions actions;
    if (acceptSender(from) && isKnown(from))
        applyStep(m_dissemination.onChunk(from.name, message, now), from, now, actions);
    return actions;
}

agent_actions membership_agent::onInstanceList(std::span<const listed_node> nodes,
                                               core::time_point now)
{
    m_view.setListed(nodes, now);
    return {};
}

agent_actions membership_agent::onServiceValue(std::string_view text, std::uint64_t serviceIndex,
                                               core::time_point asOf, core::time_point now)
{
    agent_actions actions;
    m_readers.onReadSucceeded(now);
    const std::uint64_t valueHash = core::hash64(text, serviceIndex);
    if (m_rejectedValueHash == valueHash)
        return actions;
    const auto result = m_store.offer(text, serviceIndex, now);
    const bool inForce = result.key == m_store.key();
    if (inForce)
        m_rejectedValueHash.reset();
    else
        m_rejectedValueHash = valueHash;
    reportOffer(result, {}, now, actions);
    // An invalid value does not confirm the sheet: another program version may accept the value.
    if (result.status != sheet_store::offer_status::Invalid)
        m_confirmation.onServiceRead(result.key, m_store.key(), asOf);
    return actions;
}

agent_actions membership_agent::onServiceUnchanged(std::uint64_t serviceIndex,
                                                   core::time_point asOf, core::time_point now)
{
    m_readers.onReadSucceeded(now);
    const sheet::sheet_key own = m_store.key();
    if (m_store.current() && serviceIndex == own.serviceIndex)
        m_confirmation.onServiceRead(own, own, asOf);
    return {};
}

void membership_agent::onServiceFailure(core::time_point now)
{
    m_readers.onReadFailed(now);
}

agent_actions membership_agent::beginLeaving(core::time_point now)
{
    agent_actions actions;
    m_view.beginLeaving(now);
    queueUpdate(self().identity.name);
    pingNeighbours(now, actions);
    return actions;
}

void membership_agent::setWitnessEpoch(std::uint64_t epoch, core::time_point now)
{
    m_view.setWitnessEpoch(epoch, now);
    if (now < m_nextEpochRefresh)
        return;
    m_nextEpochRefresh = now + m_settings.witnessEpochRefresh;
    queueUpdate(self().identity.name);
}

void membership_agent::mergeUpdates(std::span<const member> updates, bool fromSync,
                                    core::time_point now, agent_actions &actions)
{
    for (const member &update : updates)
        mergeUpdate(update, fromSync, now, actions);
}

void membership_agent::mergeUpdate(const member &update, bool fromSync, core::time_point now,
                                   agent_actions &actions)
{
    member offered = update;
    const member *known = m_view.record(update.identity.name);
    // After a partition, the view of each side declares the other side dead. Treating that as a
    // suspicion gives the member time to refute it before it is declared dead here.
    if (fromSync && update.state == member_state::Dead && known != nullptr
        && known->identity == update.identity && known->state == member_state::Alive)
        offered.state = member_state::Suspect;

    const auto result = m_view.merge(offered, now);
    using status = live_view::merge_status;
    const core::node_name &name = update.identity.name;
    switch (result.status) {
    case status::Ignored:
    case status::Full:
        return;
    case status::Superseded:
        onSuperseded(update, now, actions);
        return;
    case status::Refuted:
        queueUpdate(name);
        return;
    case status::EpochChanged:
        if (!fromSync)
            queueUpdate(name);
        return;
    case status::Joined:
    case status::Restarted: {
        m_detector.endSuspicion(name, false);
        m_detector.resetMisses(name);
        // New members announce themselves; queueing the records of whole views would flood the
        // queue.
        if (!fromSync)
            queueUpdate(name);
        const bool joined = result.status == status::Joined;
        const bool dead = offered.state == member_state::Dead;
        const event_kind kind
            = dead ? event_kind::Dead : (joined ? event_kind::Joined : event_kind::Returned);
        actions.events.push_back({kind, update.identity, {}, ""});
        if (!dead && offered.state != member_state::Alive)
            onStateChange(offered, member_state::Alive, now, actions);
        return;
    }
    case status::Changed:
        queueUpdate(name);
        onStateChange(offered, result.before, now, actions);
        return;
    }
}

void membership_agent::onStateChange(const member &record, member_state before,
                                     core::time_point now, agent_actions &actions)
{
    const core::node_name &name = record.identity.name;
    const auto report = [&](event_kind kind) {
        actions.events.push_back({kind, record.identity, {}, ""});
    };
    switch (record.state) {
    case member_state::Suspect:
        m_detector.beginSuspicion(name, now);
        if (before != member_state::Suspect)
            report(event_kind::Suspect);
        return;
    case member_state::Dead:
        m_detector.endSuspicion(name, false);
        m_dissemination.removePeer(name);
        report(event_kind::Dead);
        return;
    case member_state::Leaving:
    case member_state::Alive:
        m_detector.endSuspicion(name, true);
        if (before == member_state::Dead)
            m_nextViewSync = std::min(m_nextViewSync, now + syncDelayAfterReturn);
        if (record.state == member_state::Leaving && before != member_state::Leaving)
            report(event_kind::Leaving);
        else if (before == member_state::Dead || before == member_state::Suspect)
            report(event_kind::Returned);
        return;
    }
}

void membership_agent::onSuperseded(const member &update, core::time_point now,
                                    agent_actions &actions)
{
    // Shortly after the first contact, the greater incarnation belongs to a previous process on
    // this node, whose clock was ahead. Later it belongs to a process that replaced this one.
    if (!m_firstAckAt || now - *m_firstAckAt < m_settings.incarnationRaiseTime) {
        m_view.raiseIncarnation(update.identity.incarnation + 1);
        queueUpdate(self().identity.name);
        actions.events.push_back({event_kind::IncarnationRaised, self().identity, {}, ""});
        return;
    }
    m_superseded = true;
    actions.events.push_back({event_kind::Superseded, update.identity, {}, ""});
}

void membership_agent::markSuspect(std::span<const core::node_name> names, core::time_point now,
                                   agent_actions &actions)
{
    for (const core::node_name &name : names) {
        if (m_view.declare(name, member_state::Suspect, now)) {
            queueUpdate(name);
            actions.events.push_back({event_kind::Suspect, m_view.record(name)->identity, {}, ""});
        }
        const member *known = m_view.record(name);
        if (known != nullptr && known->state != member_state::Dead)
            m_detector.beginSuspicion(name, now);
    }
}

void membership_agent::expireSuspicions(std::span<const core::node_name> names,
                                        core::time_point now, agent_actions &actions)
{
    for (const core::node_name &name : names) {
        if (!m_view.declare(name, member_state::Dead, now))
            continue;
        queueUpdate(name);
        m_dissemination.removePeer(name);
        actions.events.push_back({event_kind::Dead, m_view.record(name)->identity, {}, ""});
    }
}

void membership_agent::queueUpdate(const core::node_name &name)
{
    const member *known = m_view.record(name);
    if (known == nullptr || known->identity.incarnation == 0)
        return;
    const auto neighbours = static_cast<std::uint32_t>(m_overlay.neighbours().size());
    m_updates.push(name, copiesPerNeighbour * std::max(neighbours, 1U));
}

std::vector<member> membership_agent::updatesFor(const core::node_name &to,
                                                 std::uint64_t peerDigest, core::time_point now)
{
    std::vector<member> updates;
    std::size_t bytes = 0;
    const auto add = [&](const core::node_name &name) {
        const auto known = m_view.find(name, now);
        if (!known || known->identity.incarnation == 0)
            return true;
        member record = withoutAddresses(*known);
        const std::size_t size = update_queue::encodedBytes(record);
        if (!updates.empty() && bytes + size > update_queue::maxBytesPerMessage)
            return false;
        bytes += size;
        updates.push_back(std::move(record));
        return true;
    };

    // This node's record is included while the views differ. The receiver's own record is included
    // if it is suspect or dead, so that the receiver can refute it.
    if (peerDigest != m_view.digest())
        add(self().identity.name);
    const member *receiver = m_view.record(to);
    if (receiver != nullptr
        && (receiver->state == member_state::Suspect || receiver->state == member_state::Dead))
        add(to);
    for (const core::node_name &name : m_updates.next()) {
        if (updates.size() >= update_queue::maxUpdatesPerMessage)
            break;
        const bool present = std::any_of(updates.begin(), updates.end(), [&name](const member &m) {
            return m.identity.name == name;
        });
        if (!present && !add(name))
            break;
        m_updates.recordSent(name);
    }
    return updates;
}

void membership_agent::pingNeighbours(core::time_point now, agent_actions &actions)
{
    for (const core::node_name &name : m_overlay.neighbours())
        sendPing(name, now, actions);
}

void membership_agent::sendPing(const core::node_name &to, core::time_point now,
                                agent_actions &actions)
{
    ping message;
    // The send time serves as sequence number, so that an ack identifies when its ping was sent.
    message.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    message.viewDigest = m_view.digest();
    message.sheet = m_store.key();
    const auto lastDigest = m_peerDigests.find(to);
    const std::uint64_t peerDigest
        = lastDigest == m_peerDigests.end() ? ~message.viewDigest : lastDigest->second;
    message.updates = updatesFor(to, peerDigest, now);
    actions.messages.push_back({to, std::move(message)});
}

void membership_agent::sendView(const core::node_name &to, bool replyRequested,
                                core::time_point now, agent_actions &actions)
{
    const std::vector<member> members = m_view.all(now);
    for (std::size_t begin = 0; begin < members.size(); begin += maxMembersPerSync) {
        const std::size_t end = std::min(begin + maxMembersPerSync, members.size());
        view_sync message;
        message.members.assign(members.begin() + static_cast<std::ptrdiff_t>(begin),
                               members.begin() + static_cast<std::ptrdiff_t>(end));
        message.replyRequested = replyRequested && end == members.size();
        actions.messages.push_back({to, std::move(message)});
    }
}

void membership_agent::syncView(core::time_point now, std::uint64_t random, agent_actions &actions)
{
    if (now < m_nextViewSync)
        return;
    m_nextViewSync = now + m_settings.viewSyncInterval;
    std::vector<core::node_name> differingPeers;
    for (const auto &[name, digest] : m_peerDigests) {
        if (digest != m_view.digest())
            differingPeers.push_back(name);
    }
    if (!differingPeers.empty())
        sendView(differingPeers[random % differingPeers.size()], true, now, actions);
}

void membership_agent::pingDeadMember(core::time_point now, std::uint64_t random,
                                      agent_actions &actions)
{
    if (now < m_nextDeadProbe)
        return;
    m_nextDeadProbe = now + m_settings.deadProbeInterval;
    const std::vector<core::node_name> dead = m_view.deadNames();
    if (!dead.empty())
        sendPing(dead[random % dead.size()], now, actions);
}

void membership_agent::applyStep(sheet_dissemination::step step, const core::node_identity &from,
                                 core::time_point now, agent_actions &actions)
{
    if (step.offered)
        reportOffer(*step.offered, from, now, actions);
    std::move(step.messages.begin(), step.messages.end(), std::back_inserter(actions.messages));
}

void membership_agent::reportOffer(const sheet_store::offer_result &result,
                                   const core::node_identity &from, core::time_point now,
                                   agent_actions &actions)
{
    using status = sheet_store::offer_status;
    if (result.status == status::Conflict)
        actions.events.push_back({event_kind::SheetConflict, from, result.key,
                                  result.adopted
                                      ? "the offered sheet has the later service index"
                                      : "the sheet in force has the later service index"});
    else if (result.status == status::Older)
        actions.events.push_back(
            {event_kind::SheetRejected, from, result.key, "a newer sheet is in force"});
    else if (result.status == status::Invalid)
        actions.events.push_back(
            {event_kind::SheetRejected, from, result.key, core::describe(result.reason)});
    if (!result.adopted)
        return;
    actions.events.push_back({event_kind::SheetApplied, from, result.key, ""});
    pingNeighbours(now, actions);
}

std::shared_ptr<const sheet::sheet> membership_agent::currentSheet() const noexcept
{
    const auto current = m_store.current();
    return current ? current->model() : nullptr;
}

membership_agent::readiness membership_agent::ready(core::time_point now) const
{
    if (m_superseded)
        return {false, "another process has taken over this node's name"};
    const auto wanted = m_dissemination.wanted();
    if (!m_store.current()) {
        if (wanted)
            return {false, "revision " + std::to_string(wanted->revision)
                               + " is being fetched from peers"};
        return {false,
                m_firstAckAt
                    ? "neither a peer nor the configuration service has given a sheet yet"
                    : "no peer has answered and the configuration service has given no sheet"};
    }
    if (m_wasReady)
        return {true, ""};
    if (wanted)
        return {false, "a newer sheet, revision " + std::to_string(wanted->revision)
                           + ", is being fetched from peers"};
    const bool hasPeers = !m_overlay.neighbours().empty();
    if (hasPeers && !m_firstAckAt && now - m_startedAt < m_settings.startupPeerTimeout)
        return {false, "waiting for a first answer from a peer, which may have a newer sheet"};
    return {true, ""};
}

bool membership_agent::majorityReachable(core::time_point now) const
{
    if (!m_view.majorityLive())
        return false;
    const std::size_t neighbours = m_detector.neighbourCount();
    if (neighbours == 0)
        return true;
    // The view lags behind by the failure detection time; missing acks reveal earlier that this
    // node is partitioned off.
    core::time_point since = now - m_settings.maxConfirmationAge;
    if (const auto pausedUntil = m_detector.pausedUntil())
        since = std::max(since, *pausedUntil);
    return 2 * m_detector.ackedSince(since) >= neighbours;
}

bool membership_agent::mayDispatch(core::time_point now) const
{
    const auto current = currentSheet();
    if (m_superseded || !current || m_detector.wasPaused(now))
        return false;
    if (current->policy.unconfirmedAction == sheet::policy_spec::unconfirmed_action::Serve)
        return true;
    const auto age = m_confirmation.age(now);
    return (age && *age < m_settings.maxConfirmationAge) || majorityReachable(now);
}

std::optional<core::duration> membership_agent::confirmationAge(core::time_point now) const
{
    return m_confirmation.age(now);
}

bool membership_agent::inService(const core::domain_name &domain) const
{
    const auto current = currentSheet();
    return !current || current->isDomainInService(domain);
}

std::vector<member> membership_agent::chooseAddresses(std::size_t count, std::uint64_t random,
                                                      core::time_point now) const
{
    // The order within a domain depends on the random number to spread callers over its nodes.
    std::map<core::domain_name, std::vector<std::pair<std::uint64_t, const member *>>> domains;
    for (const member *node : m_view.live()) {
        if (node->state == member_state::Alive && inService(node->domain))
            domains[node->domain].emplace_back(core::hash64(node->identity.name.text(), random),
                                               node);
    }
    std::vector<std::pair<std::uint64_t, core::domain_name>> order;
    for (auto &[domain, nodes] : domains) {
        std::sort(nodes.begin(), nodes.end());
        const bool own = domain == self().domain;
        order.emplace_back(own ? 0 : core::hash64(domain.text(), random) | 1U, domain);
    }
    std::sort(order.begin(), order.end());

    std::vector<member> chosen;
    bool any = true;
    for (std::size_t round = 0; any && chosen.size() < count; ++round) {
        any = false;
        for (const auto &[weight, domain] : order) {
            const auto &nodes = domains.at(domain);
            if (round >= nodes.size() || chosen.size() >= count)
                continue;
            any = true;
            chosen.push_back(*m_view.find(nodes[round].second->identity.name, now));
        }
    }
    return chosen;
}

std::vector<member> membership_agent::chooseWitnesses(std::size_t count, std::uint64_t random,
                                                      core::time_point now) const
{
    return chooseAddresses(count, random, now);
}

} // namespace comfreypass::membership
