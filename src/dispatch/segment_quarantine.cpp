#include "dispatch/segment_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreypass::dispatch {

namespace {

constexpr std::size_t maxBrokenPerEngine = 64;
constexpr std::size_t maxCrashes = 256;
constexpr std::size_t maxQuarantined = 256;
constexpr std::size_t maxAnsweredPerGeneration = 8'192;
constexpr std::size_t maxEngines = 4'096;

/** Limits of a summary, so that it fits two datagrams. */
constexpr std::size_t maxReportedCrashes = 16;
constexpr std::size_t maxReportedSegments = 64;

/** Sorts the times and counts those that are not close to the one before. */
std::size_t countMoments(std::vector<core::time_point> &times)
{
    std::ranges::sort(times);
    std::size_t moments = 0;
    std::optional<core::time_point> last;
    for (const core::time_point at : times) {
        if (last && at - *last < segment_quarantine::sameMoment)
            continue;
        ++moments;
        last = at;
    }
    return moments;
}

} // namespace

void segment_quarantine::onBroken(engine_key engine, std::span<const segment_key> segments,
                                  core::time_point now)
{
    if (segments.empty())
        return;
    const std::vector<segment_key> copy(segments.begin(), segments.end());
    const auto down = m_downAt.find(engine);
    if (down != m_downAt.end() && now - down->second <= confirmationWindow) {
        recordCrash({engine, copy, now}, now);
        quarantineSuspects(now);
        return;
    }
    if (m_broken.size() >= maxEngines)
        m_broken.clear();
    std::vector<broken_request> &broken = m_broken[engine];
    std::erase_if(broken,
                  [now](const broken_request &each) { return now - each.at > confirmationWindow; });
    if (broken.size() < maxBrokenPerEngine)
        broken.push_back({copy, now});
}

void segment_quarantine::onEngineDown(engine_key engine, core::time_point now)
{
    if (m_downAt.size() >= maxEngines)
        m_downAt.clear();
    m_downAt[engine] = now;
    const auto found = m_broken.find(engine);
    if (found == m_broken.end())
        return;
    for (broken_request &each : found->second) {
        if (now - each.at <= confirmationWindow)
            recordCrash({engine, std::move(each.segments), each.at}, now);
    }
    m_broken.erase(found);
    quarantineSuspects(now);
}

void segment_quarantine::onAnswered(std::span<const segment_key> segments, core::time_point now)
{
    for (const segment_key segment : segments) {
        recordAnswer(segment, now);
        if (clear(segment))
            m_news.answered.push_back(segment);
    }
}

void segment_quarantine::onPeerReport(const segment_report &report, core::time_point now)
{
    for (const segment_key segment : report.answered) {
        recordAnswer(segment, now);
        clear(segment);
    }
    for (const crash_report &each : report.crashes) {
        // Peers that missed the answer of a segment drop the crash, too.
        for (const segment_key segment : each.segments) {
            if (answeredSince(segment, now - each.age))
                m_news.answered.push_back(segment);
        }
        addCrash({each.engine, each.segments, now - each.age}, now);
    }
    for (const quarantined_segment &each : report.quarantined) {
        const core::time_point start = now - (quarantineTime - each.remaining);
        if (answeredSince(each.segment, start))
            m_news.answered.push_back(each.segment);
        else if (!m_quarantined.contains(each.segment))
            quarantine(each.segment, now + each.remaining);
    }
    quarantineSuspects(now);
}

std::optional<quarantined_segment> segment_quarantine::find(std::span<const segment_key> segments,
                                                            core::time_point now) const
{
    for (const segment_key segment : segments) {
        const auto found = m_quarantined.find(segment);
        if (found != m_quarantined.end() && found->second > now)
            return quarantined_segment{segment, found->second - now};
    }
    return std::nullopt;
}

segment_report segment_quarantine::summary(core::time_point now) const
{
    segment_report report;
    const std::size_t count = std::min(m_crashes.size(), maxReportedCrashes);
    for (std::size_t i = m_crashes.size() - count; i < m_crashes.size(); ++i) {
        const crash &each = m_crashes[i];
        if (now - each.at <= memory)
            report.crashes.push_back({each.engine, each.segments, now - each.at});
    }
    for (const auto &[segment, until] : m_quarantined) {
        if (until > now && report.quarantined.size() < maxReportedSegments)
            report.quarantined.push_back({segment, until - now});
    }
    return report;
}

void segment_quarantine::recordCrash(crash seen, core::time_point now)
{
    crash_report report{seen.engine, seen.segments, now - seen.at};
    if (addCrash(std::move(seen), now))
        m_news.crashes.push_back(std::move(report));
}

bool segment_quarantine::addCrash(crash added, core::time_point now)
{
    std::erase_if(added.segments, [&](segment_key each) { return answeredSince(each, added.at); });
    // A quarantined segment explains the crash.
    if (find(added.segments, now))
        return false;
    const bool known = std::ranges::any_of(m_crashes, [&](const crash &each) {
        return each.engine == added.engine && each.segments == added.segments
               && std::max(each.at, added.at) - std::min(each.at, added.at) <= confirmationWindow;
    });
    if (known)
        return false;
    if (m_crashes.size() >= maxCrashes)
        m_crashes.erase(m_crashes.begin());
    m_crashes.push_back(std::move(added));
    return true;
}

void segment_quarantine::dropExpired(core::time_point now)
{
    std::erase_if(m_crashes, [now](const crash &each) { return now - each.at > memory; });
    std::erase_if(m_quarantined, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_broken, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back().at > confirmationWindow;
    });
}

void segment_quarantine::quarantineSuspects(core::time_point now)
{
    dropExpired(now);
    for (;;) {
        std::optional<segment_key> suspect;
        std::size_t mostCrashes = 0;
        for (const crash &each : m_crashes) {
            for (const segment_key segment : each.segments) {
                const evidence against = evidenceAgainst(segment);
                // Later segments of a prompt are more specific.
                const bool convincing = against.moments >= requiredMoments
                                        && against.engines >= requiredEngines
                                        && against.moments * explainedCrashes >= against.allMoments;
                if (convincing && against.crashes >= mostCrashes) {
                    suspect = segment;
                    mostCrashes = against.crashes;
                }
            }
        }
        if (!suspect)
            return;
        quarantine(*suspect, now + quarantineTime);
        m_news.quarantined.push_back({*suspect, quarantineTime});
    }
}

segment_quarantine::evidence segment_quarantine::evidenceAgainst(segment_key segment) const
{
    evidence result;
    std::vector<core::time_point> times;
    std::set<engine_key> engines;
    for (const crash &each : m_crashes) {
        if (std::ranges::find(each.segments, segment) == each.segments.end())
            continue;
        times.push_back(each.at);
        engines.insert(each.engine);
    }
    if (times.empty())
        return result;
    result.engines = engines.size();
    result.crashes = times.size();
    result.moments = countMoments(times);
    const core::time_point first = times.front();
    times.clear();
    for (const crash &each : m_crashes) {
        if (each.at >= first)
            times.push_back(each.at);
    }
    result.allMoments = countMoments(times);
    return result;
}

// The crashes with the segment are explained and count no longer against its companions.
void segment_quarantine::quarantine(segment_key segment, core::time_point until)
{
    if (m_quarantined.size() >= maxQuarantined)
        m_quarantined.erase(std::ranges::min_element(
            m_quarantined, {}, [](const auto &entry) { return entry.second; }));
    m_quarantined[segment] = until;
    std::erase_if(m_crashes, [segment](const crash &each) {
        return std::ranges::find(each.segments, segment) != each.segments.end();
    });
}

bool segment_quarantine::answeredSince(segment_key segment, core::time_point since) const
{
    for (const auto *generation : {&m_answered, &m_answeredBefore}) {
        const auto found = generation->find(segment);
        if (found != generation->end())
            return found->second >= since;
    }
    return false;
}

void segment_quarantine::recordAnswer(segment_key segment, core::time_point now)
{
    if (m_answered.size() >= maxAnsweredPerGeneration)
        m_answeredBefore = std::exchange(m_answered, {});
    m_answered[segment] = now;
}

bool segment_quarantine::clear(segment_key segment)
{
    bool suspected = m_quarantined.erase(segment) > 0;
    for (crash &each : m_crashes)
        suspected = std::erase(each.segments, segment) > 0 || suspected;
    return suspected;
}

} // namespace comfreypass::dispatch
