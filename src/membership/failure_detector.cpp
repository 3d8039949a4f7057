#include "membership/failure_detector.h"

#include "core/hash.h"

#include <algorithm>

namespace comfreypass::membership {

namespace {

constexpr std::uint32_t maxMissMultiplier = 8;

} // namespace

failure_detector::failure_detector(membership_settings settings, core::time_point now)
    : m_settings(settings), m_lastTick(now)
{ }

void failure_detector::setNeighbours(std::span<const core::node_name> names, core::time_point now,
                                     std::uint64_t random)
{
    std::map<core::node_name, probe> probes;
    for (const core::node_name &name : names) {
        const auto known = m_probes.find(name);
        if (known != m_probes.end()) {
            probes.emplace(name, known->second);
            continue;
        }
        // The first ping is sent at once. Later pings have a random phase per neighbour, which
        // spreads the pings of a node over the interval.
        const auto interval = static_cast<std::uint64_t>(m_settings.pingInterval.count());
        const auto phase = core::hash64(name.text(), random) % interval;
        probe added;
        added.nextPing
            = now - m_settings.pingInterval + core::duration(static_cast<std::int64_t>(phase));
        probes.emplace(name, added);
    }
    m_probes = std::move(probes);
}

failure_detector::step failure_detector::tick(core::time_point now)
{
    step result;
    if (wasPaused(now)) {
        // Acks that arrived during the pause were not processed, so missing acks do not indicate
        // failed neighbours.
        result.paused = true;
        const core::duration pause = now - m_lastTick;
        m_pausedUntil = now;
        for (auto &[name, target] : m_probes) {
            target.misses = 0;
            target.lastPing.reset();
        }
        for (auto &[name, deadline] : m_suspicions)
            deadline += pause;
    }
    m_lastTick = now;

    for (auto &[name, target] : m_probes) {
        if (target.nextPing > now)
            continue;
        // The first ping is sent out of phase, so the second may follow before the first has had a
        // full interval to be acked.
        const bool due
            = target.lastPing
              && now - *target.lastPing + m_settings.tickInterval >= m_settings.pingInterval;
        if (due && (!target.lastAcked || *target.lastAcked < *target.lastPing)) {
            ++target.misses;
            // A member that refuted by gossip but still does not ack is suspected again.
            if (target.misses >= allowedMisses(target, now)) {
                result.newSuspects.push_back(name);
                target.misses = 0;
            }
        }
        // Keeps the phase and skips rounds that were missed during a pause.
        const auto late = now - target.nextPing;
        target.nextPing += m_settings.pingInterval * (late / m_settings.pingInterval + 1);
        target.lastPing = now;
        result.toPing.push_back(name);
    }

    for (auto next = m_suspicions.begin(); next != m_suspicions.end();) {
        if (next->second > now) {
            ++next;
            continue;
        }
        result.expiredSuspicions.push_back(next->first);
        next = m_suspicions.erase(next);
    }
    return result;
}

void failure_detector::onAck(const core::node_name &name, core::time_point sentAt)
{
    const auto found = m_probes.find(name);
    if (found == m_probes.end())
        return;
    probe &target = found->second;
    if (target.lastAcked && *target.lastAcked >= sentAt)
        return;
    target.lastAcked = sentAt;
    target.misses = 0;
    if (target.lastPing && sentAt >= *target.lastPing)
        target.missMultiplier = 1;
}

void failure_detector::beginSuspicion(const core::node_name &name, core::time_point now)
{
    m_suspicions.try_emplace(name, now + m_settings.suspicionTime);
}

void failure_detector::endSuspicion(const core::node_name &name, bool refuted)
{
    if (m_suspicions.erase(name) == 0 || !refuted)
        return;
    const auto found = m_probes.find(name);
    if (found == m_probes.end())
        return;
    found->second.misses = 0;
    found->second.missMultiplier = std::min(found->second.missMultiplier * 2, maxMissMultiplier);
}

void failure_detector::resetMisses(const core::node_name &name)
{
    const auto found = m_probes.find(name);
    if (found != m_probes.end())
        found->second.misses = 0;
}

bool failure_detector::wasPaused(core::time_point now) const
{
    return now - m_lastTick > m_settings.tickInterval + m_settings.pauseThreshold;
}

std::size_t failure_detector::ackedSince(core::time_point since) const
{
    return static_cast<std::size_t>(
        std::count_if(m_probes.begin(), m_probes.end(), [since](const auto &item) {
            return item.second.lastAcked && *item.second.lastAcked >= since;
        }));
}

std::uint32_t failure_detector::allowedMisses(const probe &target, core::time_point now) const
{
    const bool recentlyPaused
        = m_pausedUntil && now - *m_pausedUntil < m_settings.pauseRecoveryTime;
    return m_settings.missesToSuspect * target.missMultiplier * (recentlyPaused ? 2 : 1);
}

} // namespace comfreypass::membership
