#include "dispatch/slot_handover.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <numeric>

namespace comfreypass::dispatch {

namespace {

using namespace std::chrono_literals;

/** Several poll intervals of 20 ms; a peer repeats its report within this time. */
constexpr core::duration reportLifetime = 100ms;

/** Bounds the cost of a lost datagram; a peer takes a slot within about 15 ms of its end. */
constexpr core::duration reclaimAfter = 60ms;

/**
 * A peer that has tried an engine already, or for whose requests it is too slow, does not take its
 * slots however long they are left. Then at most a tenth of their time is lost.
 */
constexpr core::duration suspension = 540ms;

/** A peer that takes a slot reports it within the batch time of updates and the network latency. */
constexpr core::duration settleTime = 15ms;

/** Two poll intervals. Without a poll for longer, the slot may have been used in between. */
constexpr core::duration maxObservationGap = 40ms;

/** Position of a node among equally urgent ones; all nodes compute the same. */
std::uint64_t tieRank(engine_key engine, std::uint32_t node)
{
    return core::hash64(std::to_string(engine) + "," + std::to_string(node));
}

} // namespace

void slot_handover::onQueueReport(std::uint32_t peer, const node_status::queue_length &queue,
                                  core::time_point now)
{
    m_reports[queue.upstream].insert_or_assign(
        peer,
        queue_report{.count = queue.count, .priority = queue.highestPriority, .receivedAt = now});
}

void slot_handover::onStatus(std::uint32_t peer, std::string_view upstream,
                             std::span<const node_status::queue_length> queues,
                             core::time_point now)
{
    const auto queue = std::ranges::find(queues, upstream, &node_status::queue_length::upstream);
    const auto known = m_reports.find(upstream);
    if (queue == queues.end() || queue->count == 0) {
        if (known != m_reports.end())
            known->second.erase(peer);
        return;
    }
    queue_report &report = m_reports[queue->upstream][peer];
    if (report.count == 0 || report.priority != queue->highestPriority)
        report.count = 1;
    report.count = std::min(report.count, queue->count);
    report.priority = queue->highestPriority;
    report.receivedAt = now;
}

void slot_handover::removePeer(std::uint32_t peer)
{
    for (auto &[upstream, reports] : m_reports)
        reports.erase(peer);
}

std::vector<slot_claim> slot_handover::assess(std::string_view upstream, std::uint32_t priority,
                                              std::span<const preferred_slots> engines,
                                              core::time_point now)
{
    std::vector<slot_claim> claims(engines.size(), slot_claim::Unclaimed);
    const peer_reports reports = freshReports(upstream, now);
    peer_reports remaining = reports;
    for (const preferred_slots &each : engines)
        observe(m_yields[each.engine], each.free, now);
    // Slots that are left to a peer already stay with it.
    std::vector<std::size_t> order(engines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) {
        return m_yields[engines[index].engine].active;
    });
    for (const std::size_t index : order) {
        const preferred_slots &slots = engines[index];
        const auto peers = m_peers.find(slots.engine);
        if (slots.free == 0 || peers == m_peers.end())
            continue;
        engine_yield &yield = m_yields[slots.engine];
        const std::uint32_t yielded
            = now < yield.suspendedUntil ? 0
                                         : allocate(slots.free, priority, peers->second, remaining);
        if (yielded > 0 && !yield.active) {
            yield.active = true;
            yield.priority = priority;
            yield.since = now;
            m_yieldedCount += yielded;
        } else if (yielded == 0 && priority >= yield.priority) {
            yield.active = false;
        }
        if (yielded >= slots.free) {
            claims[index] = slot_claim::Yielded;
            continue;
        }
        const bool contested = std::ranges::any_of(peers->second, [&](std::uint32_t peer) {
            const auto report = reports.find(peer);
            return report != reports.end()
                   && precedes(peer, report->second, priority, slots.engine);
        });
        const bool claimed = std::ranges::any_of(
            peers->second, [&](std::uint32_t peer) { return reports.contains(peer); });
        const bool settled = now - yield.freeSince >= settleTime;
        if (contested)
            claims[index] = settled ? slot_claim::ContestedSettled : slot_claim::Contested;
        else if (claimed)
            claims[index] = settled ? slot_claim::OpenSettled : slot_claim::Open;
    }
    return claims;
}

void slot_handover::observe(engine_yield &yield, std::uint32_t free, core::time_point now)
{
    const bool taken = free < yield.free;
    const bool unobserved = now - yield.assessedAt > maxObservationGap;
    if (free != yield.free || unobserved)
        yield.freeSince = now;
    yield.free = free;
    yield.assessedAt = now;
    if (!yield.active)
        return;
    if (free == 0) {
        yield.active = false;
        return;
    }
    if (taken || unobserved)
        yield.since = now;
    if (now - yield.since < reclaimAfter)
        return;
    yield.active = false;
    yield.suspendedUntil = now + suspension;
    ++m_reclaimedCount;
}

std::uint32_t slot_handover::allocate(std::uint32_t free, std::uint32_t priority,
                                      std::span<const std::uint32_t> peers, peer_reports &remaining)
{
    std::uint32_t yielded = 0;
    for (const std::uint32_t peer : peers) {
        const auto report = remaining.find(peer);
        if (report == remaining.end() || report->second.priority >= priority)
            continue;
        const std::uint32_t slots = std::min(free - yielded, report->second.count);
        report->second.count -= slots;
        yielded += slots;
    }
    return yielded;
}

bool slot_handover::precedes(std::uint32_t peer, const queue_report &report, std::uint32_t priority,
                             engine_key engine) const
{
    if (report.priority != priority)
        return report.priority < priority;
    return tieRank(engine, peer) < tieRank(engine, m_self);
}

slot_handover::peer_reports slot_handover::freshReports(std::string_view upstream,
                                                        core::time_point now) const
{
    peer_reports fresh;
    const auto found = m_reports.find(upstream);
    if (found == m_reports.end())
        return fresh;
    for (const auto &[peer, report] : found->second) {
        if (report.count > 0 && now - report.receivedAt <= reportLifetime)
            fresh.emplace(peer, report);
    }
    return fresh;
}

} // namespace comfreypass::dispatch
