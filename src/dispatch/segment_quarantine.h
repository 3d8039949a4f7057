#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "dispatch/segment_report.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::dispatch {

/**
 * Finds segments of prompts that crash each engine that begins to answer them, and quarantines
 * them: their requests are refused.
 *
 * A crash counts against the segments of a request if its response broke off before its second
 * event and the engine then refused connections; a response that is merely lost does not count. A
 * segment is quarantined after crashes of several engines at several moments, if it explains half
 * of the crashes since its first one and no engine has answered it in between. One fault that ends
 * several engines at once proves nothing, and a segment of sound requests is answered all the time.
 * Of segments that always occur together the most specific one is taken. Nodes share crashes,
 * answers and quarantines, since each of them sees only some of the crashes. Not thread-safe.
 */
class segment_quarantine
{
public:
    /** Events of a response from which on its request cannot have crashed the engine. */
    static constexpr std::uint64_t harmlessEvents = 2;

    /** An engine that refuses connections within this time of a broken response has crashed. */
    static constexpr core::duration confirmationWindow = std::chrono::seconds(1);

    /** Crashes within this time have the same cause. */
    static constexpr core::duration sameMoment = std::chrono::milliseconds(100);
    static constexpr std::size_t requiredMoments = 4;
    static constexpr std::size_t requiredEngines = 2;

    /** A segment that crashes engines explains at least one in this many of the crashes. */
    static constexpr std::size_t explainedCrashes = 2;

    /** Crashes are forgotten after this time; rare requests crash an engine every few seconds. */
    static constexpr core::duration memory = std::chrono::minutes(1);

    /** A quarantined segment is tried again after this time, which may cost several engines. */
    static constexpr core::duration quarantineTime = std::chrono::minutes(2);

    /** A response of a request with these segments broke off before its second event. */
    void onBroken(engine_key engine, std::span<const segment_key> segments, core::time_point now);

    /** The engine refuses connections, as this node or a peer found. */
    void onEngineDown(engine_key engine, core::time_point now);

    /** An engine answered a request with these segments. */
    void onAnswered(std::span<const segment_key> segments, core::time_point now);

    /**
     * Applies what a peer reported. Returns the segments in it that this node has seen answered
     * since, for the peer alone, and those that this node has quarantined by it, for the log: if
     * all nodes told all others, messages would grow with the square of the fleet.
     */
    segment_report onPeerReport(const segment_report &report, core::time_point now);

    /** Returns the quarantined segment among these, if any. */
    std::optional<quarantined_segment> find(std::span<const segment_key> segments,
                                            core::time_point now) const;

    bool hasNews() const noexcept { return !m_news.empty(); }

    /** Returns and clears what the peers do not know yet. */
    segment_report takeNews() { return std::exchange(m_news, {}); }

    /** Returns what this node knows, for peers that may have missed it. */
    segment_report summary(core::time_point now) const;

private:
    struct broken_request
    {
        std::vector<segment_key> segments;
        core::time_point at;
    };

    struct crash
    {
        engine_key engine = 0;
        std::vector<segment_key> segments;
        core::time_point at;
    };

    /** Crashes that count against a segment. */
    struct evidence
    {
        std::size_t moments = 0;
        std::size_t engines = 0;
        /** Moments of all crashes since the first one of the segment. */
        std::size_t allMoments = 0;

        bool isConvincing() const
        {
            return moments >= requiredMoments && engines >= requiredEngines
                   && moments * explainedCrashes >= allMoments;
        }
    };

    /** Adds a crash that this node has seen, and reports it. */
    void recordCrash(crash seen, core::time_point now);
    /** Returns false if the crash is known. */
    bool addCrash(crash added, core::time_point now);
    bool isExplained(const crash &candidate) const;
    static bool isSameCrash(const crash &left, const crash &right);
    void dropExpired(core::time_point now);
    /** Quarantines a segment if a crash of these segments has completed the evidence. */
    std::optional<quarantined_segment> judge(std::span<const segment_key> segments,
                                             core::time_point now);
    /** Returns the segment to be quarantined if there is enough evidence against this one. */
    std::optional<segment_key> suspectFor(segment_key segment) const;
    evidence evidenceAgainst(segment_key segment) const;
    static std::size_t countMoments(std::vector<const crash *> crashes);
    void quarantine(segment_key segment, core::time_point until);
    void explain(const crash &explained);
    bool answeredSince(segment_key segment, core::time_point since) const;
    void recordAnswer(segment_key segment, core::time_point now);
    /** Returns true if the segment was suspected. */
    bool clear(segment_key segment);

    std::unordered_map<engine_key, std::vector<broken_request>> m_broken;
    std::unordered_map<engine_key, core::time_point> m_downAt;
    /** In the order of their arrival; without segments if all of them have been answered. */
    std::vector<crash> m_crashes;
    /** Crashes that a quarantined segment explains, without segments. */
    std::vector<crash> m_explained;
    /** End of each quarantine. */
    std::map<segment_key, core::time_point> m_quarantined;
    /** Last answer of each segment, in two generations, of which the older one is dropped. */
    std::unordered_map<segment_key, core::time_point> m_answered;
    std::unordered_map<segment_key, core::time_point> m_answeredBefore;
    segment_report m_news;
};

} // namespace comfreypass::dispatch
