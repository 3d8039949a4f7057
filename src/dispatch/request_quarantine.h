#pragma once

#include "core/time_point.h"
#include "dispatch/crash_signature.h"
#include "dispatch/engine_registry.h"
#include "dispatch/quarantine_report.h"
#include "dispatch/request_feature.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::dispatch {

/**
 * Finds requests that crash each engine that begins to answer them, and quarantines what they have
 * in common: segments of their prompts or, if one request is sent again and again, the request
 * itself.
 *
 * A crash counts against the features of a request if its response broke off before its second
 * event and the engine then refused connections; a response that is merely lost does not count. An
 * answer clears the features of its request. There is enough evidence against a feature after
 * several crashes of several engines if it was not answered since the first one and if a harmless
 * feature would hardly ever be present in all of them, given how many other requests were answered
 * and how many ended in crashes without it. One fault that ends several engines at once is one
 * crash.
 *
 * What is quarantined then is not the feature but a signature: all features that its crashes have
 * in common (see crash_explanation). A sound request that shares some of them is served, and its
 * answer removes these from the signature.
 *
 * Each crash is explained once: what a quarantined signature explains no longer counts against the
 * other requests of the engine, and counts at most twice against the features of its own requests,
 * as the crashes of one request do. Thus a request that is repeated does not quarantine its
 * segments, and a segment whose requests are repeated is still found.
 *
 * At the end of a quarantine the signature is on probation: the fleet tries one request at a time,
 * of all signatures that share a feature, and one more crash quarantines them again, for longer.
 *
 * Nodes share crashes, answers and quarantines, since each of them sees only some of the crashes.
 * Not thread-safe.
 */
class request_quarantine
{
public:
    /** Events of a response from which on its request cannot have crashed the engine. */
    static constexpr std::uint64_t harmlessEvents = 2;

    /** An engine that refuses connections within this time of a broken response has crashed. */
    static constexpr core::duration confirmationWindow = std::chrono::seconds(1);

    /** Crashes of several engines within this time have the same cause. */
    static constexpr core::duration sameMoment = std::chrono::milliseconds(100);

    /** Crashes are forgotten after this time; rare requests crash an engine every few minutes. */
    static constexpr core::duration memory = std::chrono::minutes(30);

    /** A quarantined signature is tried again after this time, which costs an engine. */
    static constexpr core::duration quarantineTime = std::chrono::minutes(2);

    /** `seed` selects when this node tries a quarantined signature again, and the ids of its
     * reports; differs between nodes. */
    explicit request_quarantine(std::uint32_t seed) : m_seed(seed), m_random(seed) { }

    /** Sets the number of nodes that share the requests of the fleet. Precondition: count > 0. */
    void setNodeCount(std::size_t count) { m_nodeCount = count; }

    /**
     * A response of a request with these features broke off before its second event, `ranFor` after
     * the start of the attempt. `isOnlyEngine`: the upstream has no other engine. Precondition: the
     * features are ordered from the start of the prompt, and the request itself is the last one.
     * Returns true if the engine is known to be down; else the response counts only if
     * onEngineDown() follows within `confirmationWindow`.
     */
    bool onBroken(engine_key engine, std::span<const request_feature> features, bool isOnlyEngine,
                  core::time_point now, core::duration ranFor = {});

    /** The engine refuses connections, as this node or a peer found. */
    void onEngineDown(engine_key engine, core::time_point now);

    /** A request with these features, which find() does not refuse, is sent to an engine. */
    void onAttempt(std::span<const request_feature> features, core::time_point now);

    /** The attempt that onAttempt() announced did not run. */
    void onNotRun(std::span<const request_feature> features);

    /**
     * Like onBroken(), for a response without a length that ended in order before its second event:
     * the end of an engine's process looks the same. onEngineAlive() shows that it was complete.
     */
    bool onEnded(engine_key engine, std::span<const request_feature> features, bool isOnlyEngine,
                 core::time_point now, core::duration ranFor = {});

    /** The engine was still running at `time`; what onEnded() reported until then was complete. */
    void onEngineAlive(engine_key engine, core::time_point time);

    /** An engine answered a request with these features. */
    void onAnswered(std::span<const request_feature> features, core::time_point now);

    /**
     * Applies what a peer reported. Returns the features in it that this node has seen answered
     * since, for the peer alone, and those that this node has quarantined by it, for the log: if
     * all nodes told all others, messages would grow with the square of the fleet.
     */
    quarantine_report onPeerReport(const quarantine_report &report, core::time_point now);

    /** Returns the signature for which a request with these features is refused, if any. */
    std::optional<quarantined_signature> find(std::span<const request_feature> features,
                                              core::time_point now) const;

    bool hasNews() const noexcept { return !m_news.empty(); }

    /** Returns and clears what the peers do not know yet. */
    quarantine_report takeNews() { return std::exchange(m_news, {}); }

    /** Returns what this node knows, with the crashes of the last `crashAge`, for peers that may
     * have missed it. */
    quarantine_report summary(core::time_point now, core::duration crashAge = memory) const;

    /** Returns the number of quarantined signatures whose most specific feature is of a kind. */
    std::size_t quarantinedCount(feature_kind kind, core::time_point now) const;

private:
    struct broken_request
    {
        std::vector<request_feature> features;
        core::time_point at;
        bool isOnlyEngine = false;
        core::duration ranFor{};
        /** The response may have been complete. */
        bool seemsComplete = false;
    };

    struct crash
    {
        engine_key engine = 0;
        std::vector<request_feature> features;
        core::time_point at;
        bool isOnlyEngine = false;
        core::duration ranFor{};
        /** See crash_report. */
        std::uint64_t id = 0;
        /** The quarantined signature of this request that has caused the crash. */
        std::optional<crash_signature> cause = {};
        /** Requests that this node had seen answered by then. */
        std::uint64_t answeredBefore = 0;
    };

    /** A crash whose cause is known. */
    struct explained_crash
    {
        engine_key engine = 0;
        core::time_point at;
        crash_signature cause;
    };

    /** Several crashes at the same time, with the requests or signatures that may have caused them.
     */
    struct crash_moment
    {
        core::time_point first;
        core::time_point last;
        /** Reports of the crashes. */
        std::vector<const crash *> reports = {};
        /** Requests that may have caused the crashes. */
        std::set<request_feature> suspects = {};
        /** Quarantined signatures that have caused some of them. */
        std::set<crash_signature> causes = {};
    };

    /** Crashes that count against a feature. */
    struct evidence
    {
        std::size_t moments = 0;
        /** Several engines crashed, or the upstream has only one. */
        bool concernsUpstream = false;
        core::time_point first;
    };

    struct quarantine_state
    {
        core::time_point until;
        /** When this node may try the signature again. */
        core::time_point trialAt;
        std::optional<core::time_point> trialStartedAt = {};
        std::size_t crashes = 0;
        std::size_t failedTrials = 0;
    };

    /** Returns true if the engine is known to be down. */
    bool addBroken(engine_key engine, broken_request request);
    /** Returns the suspected segment of a request that has ended an engine itself. */
    std::optional<quarantined_signature> findForRepeat(std::span<const request_feature> features,
                                                       core::time_point now) const;
    /** Returns whether the request has crashed an engine, or may have done so just now. */
    bool hasEndedEngine(const request_feature &request, core::time_point now) const;
    /** Adds a crash that this node has seen, and reports it. */
    void recordCrash(crash seen, core::time_point now);
    /** Removes the features that an engine has answered since. */
    void dropAnswered(crash &seen) const;
    /** Returns an id that no other report of the fleet has. */
    std::uint64_t nextCrashId();
    /** Returns false if the crash is known, or has another cause. */
    bool addCrash(crash added, core::time_point now);
    /** Removes a crash to make room, one with a known cause first. */
    void dropOne();
    void dropExpired(core::time_point now);
    /** Quarantines what a crash of these features has completed the evidence against. */
    std::vector<quarantined_signature> judge(std::span<const request_feature> features,
                                             core::time_point now);
    /** Returns the failed trials that a new signature of these features begins with. */
    std::size_t failedTrialsOf(std::span<const request_feature> features) const;
    /** Returns the signatures to be quarantined if there is enough evidence against the feature. */
    std::vector<crash_signature> signaturesFor(const request_feature &feature) const;
    evidence evidenceAgainst(const request_feature &feature) const;
    /** Returns the crashes that count against a feature, by time. */
    std::vector<crash_moment> momentsOf(const request_feature &feature) const;
    bool isConvincing(const request_feature &feature, const evidence &against) const;
    /** Returns the share of all requests that ended in crashes without the feature. */
    double backgroundCrashRate(const request_feature &feature, core::time_point first) const;
    std::vector<const crash *> crashesOf(const request_feature &feature) const;
    bool isSuspectedAsMuch(const crash &candidate, std::size_t moments) const;
    void quarantine(const quarantined_signature &quarantined, core::time_point now);
    /** Returns whether the requests of a signature are those of a quarantined one, too. */
    bool isCovered(const crash_signature &signature) const;
    /** Adds a state, in place of those of signatures with more features. */
    void insertQuarantined(const crash_signature &signature, quarantine_state state);
    /** Refuses the requests of signatures that share a feature with a tried one for a while. */
    void startTrial(const crash_signature &tried, core::time_point now);
    static bool isInForce(const quarantine_state &state, core::time_point now);
    void onTrialFailed(const crash_signature &tried, core::time_point at);
    void extendQuarantine(quarantine_state &state, core::time_point until);
    /** Returns the duration of a quarantine after some failed trials. */
    static core::duration durationAfter(std::size_t failedTrials);
    bool isKnown(const crash &added);
    void drawTrialTime(quarantine_state &state);
    /** Records the cause of a crash; other requests of the engine are suspected no longer, unless
     * as many crashes count against them. */
    void explain(engine_key engine, core::time_point at, const crash_signature &cause,
                 std::size_t moments);
    /** Returns the last answer to a request with the feature, if any is known. */
    std::optional<core::time_point> lastAnswer(const request_feature &feature) const;
    bool answeredSince(const request_feature &feature, core::time_point since) const;
    void recordAnswer(const request_feature &feature, core::time_point now);
    /** Returns true if the feature was suspected. */
    bool clear(const request_feature &feature);

    using answer_times
        = std::unordered_map<request_feature, core::time_point, request_feature_hash>;

    std::uint32_t m_seed;
    std::uint64_t m_crashIds = 0;
    std::minstd_rand m_random;
    std::size_t m_nodeCount = 1;
    std::unordered_map<engine_key, std::vector<broken_request>> m_broken;
    std::unordered_map<engine_key, core::time_point> m_downAt;
    /** In the order of their arrival; without features if all of them have been answered. */
    std::vector<crash> m_crashes;
    std::vector<explained_crash> m_explained;
    /** No signature contains another one. */
    std::map<crash_signature, quarantine_state> m_quarantined;
    /** Last answers of one kind of features, in two generations, of which the older one is dropped.
     */
    struct answer_memory
    {
        answer_times recent;
        answer_times before;
    };
    std::array<answer_memory, featureKinds> m_answered;
    std::uint64_t m_answeredCount = 0;
    quarantine_report m_news;
};

} // namespace comfreypass::dispatch
