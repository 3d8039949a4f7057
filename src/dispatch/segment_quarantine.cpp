#include "dispatch/segment_quarantine.h"

#include <algorithm>
#include <iterator>
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
    for (broken_request &each : std::exchange(found->second, {})) {
        if (now - each.at <= confirmationWindow)
            recordCrash({engine, std::move(each.segments), each.at}, now);
    }
    m_broken.erase(engine);
}

void segment_quarantine::onAnswered(std::span<const segment_key> segments, core::time_point now)
{
    for (const segment_key segment : segments) {
        recordAnswer(segment, now);
        if (clear(segment))
            m_news.answered.push_back(segment);
    }
}

segment_report segment_quarantine::onPeerReport(const segment_report &report, core::time_point now)
{
    segment_report result;
    for (const segment_key segment : report.answered) {
        recordAnswer(segment, now);
        clear(segment);
    }
    for (const crash_report &each : report.crashes) {
        for (const segment_key segment : each.segments) {
            if (answeredSince(segment, now - each.age))
                result.answered.push_back(segment);
        }
        if (!addCrash({each.engine, each.segments, now - each.age}, now))
            continue;
        if (const auto quarantined = judge(each.segments, now))
            result.quarantined.push_back(*quarantined);
    }
    for (const quarantined_segment &each : report.quarantined) {
        const core::time_point start = now - (quarantineTime - each.remaining);
        if (answeredSince(each.segment, start)) {
            result.answered.push_back(each.segment);
        } else if (!m_quarantined.contains(each.segment)) {
            quarantine(each.segment, now + each.remaining);
            result.quarantined.push_back(each);
        }
    }
    return result;
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
    if (!addCrash(std::move(seen), now))
        return;
    m_news.crashes.push_back(std::move(report));
    if (const auto quarantined = judge(m_news.crashes.back().segments, now))
        m_news.quarantined.push_back(*quarantined);
}

bool segment_quarantine::isSameCrash(const crash &left, const crash &right)
{
    return left.engine == right.engine
           && std::max(left.at, right.at) - std::min(left.at, right.at) <= confirmationWindow;
}

bool segment_quarantine::addCrash(crash added, core::time_point now)
{
    dropExpired(now);
    std::erase_if(added.segments, [&](segment_key each) { return answeredSince(each, added.at); });
    if (isExplained(added))
        return false;
    if (find(added.segments, now)) {
        explain(added);
        return true;
    }
    const bool known = std::ranges::any_of(m_crashes, [&](const crash &each) {
        return isSameCrash(each, added) && each.segments == added.segments;
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
    std::erase_if(m_explained, [now](const crash &each) { return now - each.at > memory; });
    std::erase_if(m_quarantined, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_broken, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back().at > confirmationWindow;
    });
}

std::optional<quarantined_segment> segment_quarantine::judge(std::span<const segment_key> segments,
                                                             core::time_point now)
{
    for (const segment_key segment : segments) {
        const std::optional<segment_key> suspect = suspectFor(segment);
        if (!suspect)
            continue;
        quarantine(*suspect, now + quarantineTime);
        return quarantined_segment{*suspect, quarantineTime};
    }
    return std::nullopt;
}

// Where a segment always occurs with a more specific one, fewer sound requests share the latter.
std::optional<segment_key> segment_quarantine::suspectFor(segment_key segment) const
{
    const evidence against = evidenceAgainst(segment);
    if (!against.isConvincing())
        return std::nullopt;
    std::set<segment_key> specific;
    for (const crash &each : m_crashes) {
        const auto found = std::ranges::find(each.segments, segment);
        if (found != each.segments.end())
            specific.insert(found + 1, each.segments.end());
    }
    for (const segment_key candidate : specific) {
        const evidence other = evidenceAgainst(candidate);
        if (other.isConvincing())
            return candidate;
        // Other reports of the last crash may still arrive.
        if (other.moments + 1 >= against.moments)
            return std::nullopt;
    }
    return segment;
}

segment_quarantine::evidence segment_quarantine::evidenceAgainst(segment_key segment) const
{
    std::vector<const crash *> all;
    std::vector<const crash *> own;
    for (const crash &each : m_crashes) {
        all.push_back(&each);
        if (std::ranges::find(each.segments, segment) != each.segments.end())
            own.push_back(&each);
    }
    evidence result;
    if (own.empty())
        return result;
    std::set<engine_key> engines;
    core::time_point first = own.front()->at;
    for (const crash *each : own) {
        engines.insert(each->engine);
        first = std::min(first, each->at);
    }
    std::erase_if(all, [first](const crash *each) { return each->at < first; });
    result.engines = engines.size();
    result.moments = countMoments(std::move(own));
    result.allMoments = countMoments(std::move(all));
    return result;
}

// Several requests report one crash, and one cause may end several engines at about the same time.
std::size_t segment_quarantine::countMoments(std::vector<const crash *> crashes)
{
    std::ranges::sort(crashes, {}, &crash::at);
    std::map<engine_key, core::time_point> lastOfEngine;
    std::optional<core::time_point> last;
    std::size_t moments = 0;
    for (const crash *each : crashes) {
        const auto known = lastOfEngine.find(each->engine);
        if (known != lastOfEngine.end() && each->at - known->second <= confirmationWindow)
            continue;
        lastOfEngine[each->engine] = each->at;
        if (last && each->at - *last < sameMoment)
            continue;
        last = each->at;
        ++moments;
    }
    return moments;
}

// The crashes with the segment count no longer against its companions, nor against the other
// requests that ran at these engines.
void segment_quarantine::quarantine(segment_key segment, core::time_point until)
{
    if (m_quarantined.size() >= maxQuarantined)
        m_quarantined.erase(std::ranges::min_element(
            m_quarantined, {}, [](const auto &entry) { return entry.second; }));
    m_quarantined[segment] = until;
    std::vector<crash> explained;
    std::ranges::copy_if(m_crashes, std::back_inserter(explained), [segment](const crash &each) {
        return std::ranges::find(each.segments, segment) != each.segments.end();
    });
    for (const crash &each : explained)
        explain(each);
}

void segment_quarantine::explain(const crash &explained)
{
    if (m_explained.size() >= maxCrashes)
        m_explained.erase(m_explained.begin());
    m_explained.push_back({explained.engine, {}, explained.at});
    std::erase_if(m_crashes,
                  [&explained](const crash &each) { return isSameCrash(each, explained); });
}

bool segment_quarantine::isExplained(const crash &candidate) const
{
    return std::ranges::any_of(m_explained,
                               [&](const crash &each) { return isSameCrash(each, candidate); });
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
