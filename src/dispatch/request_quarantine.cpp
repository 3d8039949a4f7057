#include "dispatch/request_quarantine.h"

#include "core/hash.h"
#include "dispatch/crash_explanation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace comfreypass::dispatch {

namespace {

constexpr std::size_t maxBrokenPerEngine = 64;
constexpr std::size_t maxCrashes = 512;
constexpr std::size_t maxQuarantined = 256;
constexpr std::size_t maxAnsweredPerGeneration = 8'192;
constexpr std::size_t maxEngines = 4'096;

/** Limits of a summary, so that it fits two datagrams. */
constexpr std::size_t maxReportedCrashes = 16;
constexpr std::size_t maxReportedSignatures = 64;

/** Engines that must crash, so that an engine which fails by itself proves nothing. */
constexpr std::size_t requiredEngines = 2;

/** Crashes of one request, or of one more specific feature, that count against a segment. */
constexpr std::size_t maxMomentsOfOneCause = 2;

/** Other crashes count as the usual ones if they came at most this long before the first one. */
constexpr core::duration backgroundWindow = std::chrono::minutes(1);

/** Answered requests that are assumed in addition, so that a node which has just started does not
 * take a few crashes for the usual fate of requests. */
constexpr double assumedAnswers = 256;

/** How much evidence against a feature of a kind is enough. */
struct conviction_threshold
{
    std::size_t moments;
    /** Maximum probability that a harmless feature is present in all of the crashes. */
    double falseAlarmProbability;
};

// Many requests share a segment; a false alarm against a request refuses only this one.
constexpr std::array<conviction_threshold, featureKinds> thresholds = {{
    {.moments = 4, .falseAlarmProbability = 1e-7},
    {.moments = 3, .falseAlarmProbability = 1e-3},
}};

/** Crashes of a request at a single engine of several that are enough, as requests may be bound to
 * the engine that has their prompt in its cache. */
constexpr std::size_t requiredMomentsAtOneEngine = 5;

/** An outage that ends engines one after the other for longer counts as several crashes. */
constexpr core::duration maxMoment = 2 * request_quarantine::sameMoment;

/** Ages of crashes from different reports differ by the latency of messages and their rounding. */
constexpr core::duration ageTolerance = std::chrono::milliseconds(10);

/** Each failed trial multiplies the duration of the next quarantine, up to a few times. */
constexpr int trialBackoffFactor = 4;
constexpr std::size_t maxTrialBackoffs = 3;

const conviction_threshold &thresholdOf(feature_kind kind)
{
    return thresholds.at(static_cast<std::size_t>(kind));
}

/** The nodes try a quarantined feature one after the other, so that the crash which one of them
 * causes is known to the others. */
constexpr core::duration trialIntervalPerNode = std::chrono::milliseconds(500);
constexpr core::duration maxTrialSpread = request_quarantine::quarantineTime / 2;

/** A trial without a result after this time does not hold up the next one. */
constexpr core::duration trialTimeout = std::chrono::seconds(5);

/** Time after a quarantine in which one crash is enough to start it again. The next request with
 * the feature may be rare. */
constexpr core::duration probationTime = request_quarantine::memory;

template<typename Left, typename Right>
bool isSameCrash(const Left &left, const Right &right)
{
    return left.engine == right.engine
           && std::max(left.at, right.at) - std::min(left.at, right.at)
                  <= request_quarantine::confirmationWindow;
}

bool contains(std::span<const request_feature> features, const request_feature &feature)
{
    return std::ranges::find(features, feature) != features.end();
}

/**
 * Returns true if a crash belongs to the last moment. A request that was sent again after it had
 * crashed an engine has crashed another one, however soon.
 */
template<typename Moment, typename Crash>
bool isSameMoment(const Moment &last, const Crash &crash)
{
    if (crash.at - last.last >= request_quarantine::sameMoment
        || crash.at - last.first >= maxMoment)
        return false;
    const bool isRepeat = last.suspects.contains(crash.features.back()) && crash.at > last.last
                          && crash.at - crash.ranFor + ageTolerance >= last.last;
    return !isRepeat;
}

/**
 * Returns the number of moments if each cause and each request explains a few of them at most.
 * Other requests do not count in a moment whose cause is known.
 */
template<typename Moment>
std::size_t countMoments(std::span<const Moment> moments, std::size_t maxPerCause)
{
    std::map<crash_signature, std::size_t> counts;
    const auto isExhausted = [&](const crash_signature &each) {
        return counts[each] >= maxPerCause;
    };
    std::size_t total = 0;
    for (const Moment &each : moments) {
        std::vector<crash_signature> causes(each.causes.begin(), each.causes.end());
        if (causes.empty()) {
            for (const request_feature &suspect : each.suspects)
                causes.push_back({suspect});
        }
        const bool isExplained = each.causes.empty()
                                     ? !causes.empty() && std::ranges::all_of(causes, isExhausted)
                                     : std::ranges::any_of(causes, isExhausted);
        if (isExplained)
            continue;
        if (!causes.empty())
            ++counts[*std::ranges::min_element(
                causes, {}, [&](const crash_signature &cause) { return counts[cause]; })];
        ++total;
    }
    return total;
}

} // namespace

bool request_quarantine::onBroken(engine_key engine, std::span<const request_feature> features,
                                  bool isOnlyEngine, core::time_point now, core::duration ranFor)
{
    return addBroken(engine, {.features = {features.begin(), features.end()},
                              .at = now,
                              .isOnlyEngine = isOnlyEngine,
                              .ranFor = ranFor});
}

bool request_quarantine::onEnded(engine_key engine, std::span<const request_feature> features,
                                 bool isOnlyEngine, core::time_point now, core::duration ranFor)
{
    return addBroken(engine, {.features = {features.begin(), features.end()},
                              .at = now,
                              .isOnlyEngine = isOnlyEngine,
                              .ranFor = ranFor,
                              .seemsComplete = true});
}

bool request_quarantine::addBroken(engine_key engine, broken_request request)
{
    const core::time_point now = request.at;
    const auto down = m_downAt.find(engine);
    const bool isKnownDown = down != m_downAt.end() && now - down->second <= confirmationWindow;
    if (request.features.empty())
        return isKnownDown;
    if (isKnownDown || !request.seemsComplete) {
        for (const auto &[signature, state] : m_quarantined) {
            if (state.trialStartedAt && matches(signature, request.features))
                onTrialFailed(signature, now);
        }
    }
    if (isKnownDown) {
        recordCrash({.engine = engine,
                     .features = std::move(request.features),
                     .at = now,
                     .isOnlyEngine = request.isOnlyEngine,
                     .ranFor = request.ranFor},
                    now);
        return true;
    }
    if (m_broken.size() >= maxEngines)
        m_broken.clear();
    std::vector<broken_request> &broken = m_broken[engine];
    std::erase_if(broken,
                  [now](const broken_request &each) { return now - each.at > confirmationWindow; });
    if (broken.size() < maxBrokenPerEngine)
        broken.push_back(std::move(request));
    return false;
}

void request_quarantine::onEngineAlive(engine_key engine, core::time_point time)
{
    const auto found = m_broken.find(engine);
    if (found == m_broken.end())
        return;
    const auto isComplete = [time](const broken_request &each) {
        return each.seemsComplete && each.at <= time;
    };
    std::vector<broken_request> complete;
    std::ranges::copy_if(found->second, std::back_inserter(complete), isComplete);
    std::erase_if(found->second, isComplete);
    for (const broken_request &each : complete)
        onAnswered(each.features, each.at);
}

void request_quarantine::onEngineDown(engine_key engine, core::time_point now)
{
    if (m_downAt.size() >= maxEngines)
        m_downAt.clear();
    m_downAt[engine] = now;
    const auto found = m_broken.find(engine);
    if (found == m_broken.end())
        return;
    const std::vector<broken_request> broken = std::move(found->second);
    m_broken.erase(found);
    for (const broken_request &each : broken) {
        if (now - each.at <= confirmationWindow)
            recordCrash({.engine = engine,
                         .features = each.features,
                         .at = each.at,
                         .isOnlyEngine = each.isOnlyEngine,
                         .ranFor = each.ranFor},
                        now);
    }
}

void request_quarantine::onAttempt(std::span<const request_feature> features, core::time_point now)
{
    for (const auto &[signature, state] : m_quarantined) {
        if (!isInForce(state, now) || !matches(signature, features))
            continue;
        startTrial(signature, now);
        m_news.trials.push_back(signature);
    }
}

// Signatures that share a suspected feature may have the same cause, which is tried once for all.
void request_quarantine::startTrial(const crash_signature &tried, core::time_point now)
{
    for (auto &[signature, state] : m_quarantined) {
        if (overlaps(signature, tried))
            state.trialStartedAt = now;
    }
}

void request_quarantine::onNotRun(std::span<const request_feature> features)
{
    for (auto &[signature, state] : m_quarantined) {
        if (overlaps(signature, features))
            state.trialStartedAt.reset();
    }
}

void request_quarantine::onAnswered(std::span<const request_feature> features, core::time_point now)
{
    ++m_answeredCount;
    for (const request_feature &each : features) {
        recordAnswer(each, now);
        if (clear(each))
            m_news.answered.push_back(each);
    }
}

quarantine_report request_quarantine::onPeerReport(const quarantine_report &report,
                                                   core::time_point now)
{
    quarantine_report result;
    for (const request_feature &each : report.answered) {
        recordAnswer(each, now);
        clear(each);
    }
    for (const crash_report &each : report.crashes) {
        for (const request_feature &feature : each.features) {
            if (answeredSince(feature, now - each.age))
                result.answered.push_back(feature);
        }
        if (!addCrash({.engine = each.engine,
                       .features = each.features,
                       .at = now - each.age,
                       .isOnlyEngine = each.isOnlyEngine,
                       .ranFor = each.ranFor,
                       .id = each.id},
                      now))
            continue;
        std::ranges::move(judge(each.features, now), std::back_inserter(result.quarantined));
    }
    for (const crash_signature &each : report.trials)
        startTrial(each, now);
    for (quarantined_signature each : report.quarantined) {
        const core::duration duration = durationAfter(each.failedTrials);
        each.remaining = std::min(each.remaining, duration);
        std::erase_if(each.signature, [&](const request_feature &feature) {
            const bool isCleared = answeredSince(feature, now - (duration - each.remaining));
            if (isCleared)
                result.answered.push_back(feature);
            return isCleared;
        });
        if (each.signature.empty())
            continue;
        const auto known = m_quarantined.find(each.signature);
        if (known != m_quarantined.end()) {
            quarantine_state &state = known->second;
            state.failedTrials = std::max(state.failedTrials, each.failedTrials);
            extendQuarantine(state, now + each.remaining);
        } else if (!isCovered(each.signature)) {
            quarantine(each, now);
            result.quarantined.push_back(each);
        }
    }
    return result;
}

std::optional<quarantined_signature>
request_quarantine::find(std::span<const request_feature> features, core::time_point now) const
{
    for (const auto &[signature, state] : m_quarantined) {
        if (!isInForce(state, now) || !matches(signature, features))
            continue;
        core::time_point end = state.trialAt;
        if (state.trialStartedAt)
            end = std::max(end, *state.trialStartedAt + trialTimeout);
        if (end > now)
            return quarantined_signature{signature, end - now, state.crashes, state.failedTrials};
    }
    return findForRepeat(features, now);
}

// Such a request is more likely to be at fault than a sound one that shares the suspected feature.
std::optional<quarantined_signature>
request_quarantine::findForRepeat(std::span<const request_feature> features,
                                  core::time_point now) const
{
    const bool isRequest = !features.empty() && features.back().kind == feature_kind::Request;
    if (m_crashes.empty() || !isRequest || !hasEndedEngine(features.back(), now))
        return std::nullopt;
    for (const request_feature &each : features) {
        if (each.kind == feature_kind::Request)
            continue;
        evidence against = evidenceAgainst(each);
        // Crashes that other causes explain may have this one all the same.
        against.moments = momentsOf(each).size();
        if (isConvincing(each, against))
            return quarantined_signature{{each}, confirmationWindow, against.moments, 0};
    }
    return std::nullopt;
}

bool request_quarantine::hasEndedEngine(const request_feature &request, core::time_point now) const
{
    const auto isOfRequest = [&](const auto &each) {
        return contains(each.features, request);
    };
    return std::ranges::any_of(m_crashes, isOfRequest)
           || std::ranges::any_of(m_broken, [&](const auto &engine) {
                  return std::ranges::any_of(engine.second, [&](const broken_request &each) {
                      return !each.seemsComplete && now - each.at <= confirmationWindow
                             && isOfRequest(each);
                  });
              });
}

bool request_quarantine::isInForce(const quarantine_state &state, core::time_point now)
{
    return now < state.until + probationTime;
}

quarantine_report request_quarantine::summary(core::time_point now, core::duration crashAge) const
{
    quarantine_report report;
    for (auto each = m_crashes.rbegin();
         each != m_crashes.rend() && report.crashes.size() < maxReportedCrashes; ++each) {
        if (!each->cause && now - each->at <= crashAge)
            report.crashes.push_back({each->engine, each->features, now - each->at,
                                      each->isOnlyEngine, each->ranFor, each->id});
    }
    std::ranges::reverse(report.crashes);
    for (const auto &[signature, state] : m_quarantined) {
        if (state.until > now && report.quarantined.size() < maxReportedSignatures)
            report.quarantined.push_back(
                {signature, state.until - now, state.crashes, state.failedTrials});
    }
    return report;
}

std::size_t request_quarantine::quarantinedCount(feature_kind kind, core::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_quarantined, [&](const auto &entry) {
        return entry.first.back().kind == kind && entry.second.until > now;
    }));
}

void request_quarantine::recordCrash(crash seen, core::time_point now)
{
    seen.id = nextCrashId();
    // Peers do not know what this node has seen answered before it knew of the crash.
    dropAnswered(seen);
    crash_report report{seen.engine,       seen.features, now - seen.at,
                        seen.isOnlyEngine, seen.ranFor,   seen.id};
    if (!addCrash(std::move(seen), now))
        return;
    m_news.crashes.push_back(std::move(report));
    std::ranges::move(judge(m_news.crashes.back().features, now),
                      std::back_inserter(m_news.quarantined));
}

void request_quarantine::dropAnswered(crash &seen) const
{
    std::erase_if(seen.features,
                  [&](const request_feature &each) { return answeredSince(each, seen.at); });
}

// Numbers drawn from m_random would not do: its period is so short that the sequences of two nodes
// may overlap, and a crash with the id of another one is taken for a repeated report.
std::uint64_t request_quarantine::nextCrashId()
{
    const std::array<std::uint64_t, 2> origin{m_seed, ++m_crashIds};
    return std::max<std::uint64_t>(1, core::hash64(std::as_bytes(std::span(origin))));
}

bool request_quarantine::addCrash(crash added, core::time_point now)
{
    dropExpired(now);
    if (isKnown(added))
        return false;
    dropAnswered(added);
    const auto quarantined = std::ranges::find_if(
        m_quarantined, [&](const auto &entry) { return matches(entry.first, added.features); });
    bool hasOtherCause = false;
    for (const explained_crash &each : m_explained) {
        if (!isSameCrash(each, added))
            continue;
        if (matches(each.cause, added.features))
            added.cause = each.cause;
        hasOtherCause = true;
    }
    if (quarantined != m_quarantined.end())
        added.cause = quarantined->first;
    else if (hasOtherCause && !added.cause)
        return false;
    if (quarantined != m_quarantined.end()) {
        auto &[signature, state] = *quarantined;
        ++state.crashes;
        if (added.at >= state.until - maxTrialSpread)
            onTrialFailed(signature, added.at);
        explain(added.engine, added.at, signature, thresholdOf(signature.back().kind).moments);
    }
    if (m_crashes.size() >= maxCrashes)
        dropOne();
    added.answeredBefore = m_answeredCount;
    m_crashes.push_back(std::move(added));
    return true;
}

// A report that is read late makes its crash seem younger, so the earliest one is right.
bool request_quarantine::isKnown(const crash &added)
{
    for (crash &each : m_crashes) {
        if (added.id != 0 && each.id != 0) {
            if (each.id != added.id || each.engine != added.engine)
                continue;
            each.at = std::min(each.at, added.at);
            return true;
        }
        if (isSameCrash(each, added) && each.features == added.features)
            return true;
    }
    return false;
}

void request_quarantine::dropOne()
{
    const auto explained
        = std::ranges::find_if(m_crashes, [](const crash &each) { return each.cause.has_value(); });
    m_crashes.erase(explained == m_crashes.end() ? m_crashes.begin() : explained);
}

void request_quarantine::dropExpired(core::time_point now)
{
    std::erase_if(m_crashes, [now](const crash &each) { return now - each.at > memory; });
    std::erase_if(m_explained,
                  [now](const explained_crash &each) { return now - each.at > memory; });
    std::erase_if(m_quarantined,
                  [now](const auto &entry) { return entry.second.until + probationTime <= now; });
    std::erase_if(m_broken, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back().at > confirmationWindow;
    });
}

std::vector<quarantined_signature>
request_quarantine::judge(std::span<const request_feature> features, core::time_point now)
{
    std::vector<quarantined_signature> found;
    for (const request_feature &each : features) {
        const std::size_t failedTrials = failedTrialsOf(features);
        for (const crash_signature &signature : signaturesFor(each)) {
            if (isCovered(signature))
                continue;
            found.push_back({signature, durationAfter(failedTrials), evidenceAgainst(each).moments,
                             failedTrials});
            quarantine(found.back(), now);
        }
    }
    return found;
}

// A crash of a request that a narrower signature let pass has cost as much as a failed trial.
std::size_t request_quarantine::failedTrialsOf(std::span<const request_feature> features) const
{
    std::size_t failedTrials = 0;
    for (const auto &[signature, state] : m_quarantined) {
        if (overlaps(signature, features))
            failedTrials = std::max(failedTrials, state.failedTrials + 1);
    }
    return failedTrials;
}

std::vector<crash_signature> request_quarantine::signaturesFor(const request_feature &feature) const
{
    if (!isConvincing(feature, evidenceAgainst(feature)))
        return {};
    if (feature.kind == feature_kind::Request)
        return {{feature}};
    std::vector<crash_suspects> crashes;
    for (const crash_moment &moment : momentsOf(feature)) {
        crash_suspects &suspects = crashes.emplace_back();
        for (const crash *each : moment.reports)
            suspects.emplace_back(each->features);
    }
    const auto wasAnswered = [this](const request_feature &each) {
        return lastAnswer(each).has_value();
    };
    return crash_explanation(crashes, wasAnswered).signaturesFor(feature);
}

std::vector<const request_quarantine::crash *>
request_quarantine::crashesOf(const request_feature &feature) const
{
    std::vector<const crash *> own;
    for (const crash &each : m_crashes) {
        if (contains(each.features, feature))
            own.push_back(&each);
    }
    return own;
}

// Several requests report one crash, and one cause may end several engines at about the same time.
std::vector<request_quarantine::crash_moment>
request_quarantine::momentsOf(const request_feature &feature) const
{
    std::vector<const crash *> own = crashesOf(feature);
    const bool isRequest = feature.kind == feature_kind::Request;
    if (isRequest)
        std::erase_if(own, [&](const crash *each) {
            return each->cause && !contains(*each->cause, feature);
        });
    std::ranges::sort(own, {}, &crash::at);
    struct engine_crash
    {
        core::time_point at;
        std::size_t moment;
    };
    std::map<engine_key, engine_crash> lastOfEngine;
    std::vector<crash_moment> moments;
    for (const crash *each : own) {
        const auto known = lastOfEngine.find(each->engine);
        const bool isKnownCrash
            = known != lastOfEngine.end() && each->at - known->second.at <= confirmationWindow;
        if (!isKnownCrash) {
            if (moments.empty() || !isSameMoment(moments.back(), *each))
                moments.push_back({.first = each->at, .last = each->at});
            moments.back().last = each->at;
            lastOfEngine[each->engine] = {each->at, moments.size() - 1};
        }
        crash_moment &moment = moments[lastOfEngine[each->engine].moment];
        moment.reports.push_back(each);
        if (each->features.back() != feature || isRequest)
            moment.suspects.insert(each->features.back());
        if (each->cause && *each->cause != crash_signature{feature})
            moment.causes.insert(*each->cause);
    }
    return moments;
}

request_quarantine::evidence
request_quarantine::evidenceAgainst(const request_feature &feature) const
{
    const std::vector<crash_moment> moments = momentsOf(feature);
    evidence result;
    if (moments.empty())
        return result;
    const bool isRequest = feature.kind == feature_kind::Request;
    std::set<engine_key> engines;
    bool areOnlyEngines = true;
    for (const crash_moment &moment : moments) {
        for (const crash *each : moment.reports) {
            engines.insert(each->engine);
            areOnlyEngines = areOnlyEngines && each->isOnlyEngine;
        }
    }
    result.first = moments.front().first;
    result.moments
        = isRequest ? moments.size() : countMoments(std::span(moments), maxMomentsOfOneCause);
    result.concernsUpstream = engines.size() >= requiredEngines || areOnlyEngines
                              || (isRequest && result.moments >= requiredMomentsAtOneEngine);
    return result;
}

bool request_quarantine::isConvincing(const request_feature &feature, const evidence &against) const
{
    const conviction_threshold &threshold = thresholdOf(feature.kind);
    if (!against.concernsUpstream || against.moments < threshold.moments)
        return false;
    const double rate = backgroundCrashRate(feature, against.first);
    return std::pow(rate, static_cast<double>(against.moments - 1))
           <= threshold.falseAlarmProbability;
}

double request_quarantine::backgroundCrashRate(const request_feature &feature,
                                               core::time_point first) const
{
    const std::vector<const crash *> own = crashesOf(feature);
    double others = 1;
    std::uint64_t answeredBefore = m_answeredCount;
    for (const crash &each : m_crashes) {
        if (each.at < first - backgroundWindow)
            continue;
        answeredBefore = std::min(answeredBefore, each.answeredBefore);
        const bool isOwn = std::ranges::any_of(
            own, [&](const crash *other) { return isSameCrash(*other, each); });
        if (!isOwn && !each.cause)
            ++others;
    }
    const auto answered = static_cast<double>((m_answeredCount - answeredBefore) * m_nodeCount);
    return others / (others + answered + assumedAnswers - 1);
}

bool request_quarantine::isSuspectedAsMuch(const crash &candidate, std::size_t moments) const
{
    return std::ranges::any_of(candidate.features, [&](const request_feature &each) {
        return evidenceAgainst(each).moments >= moments;
    });
}

void request_quarantine::quarantine(const quarantined_signature &quarantined, core::time_point now)
{
    if (m_quarantined.size() >= maxQuarantined)
        m_quarantined.erase(std::ranges::min_element(
            m_quarantined, {}, [](const auto &entry) { return entry.second.until; }));
    const crash_signature &signature = quarantined.signature;
    quarantine_state state{.until = now + quarantined.remaining,
                           .trialAt = now + quarantined.remaining,
                           .crashes = quarantined.crashes,
                           .failedTrials = quarantined.failedTrials};
    drawTrialTime(state);
    insertQuarantined(signature, state);
    std::vector<std::pair<engine_key, core::time_point>> explained;
    for (const crash &each : m_crashes) {
        if (matches(signature, each.features))
            explained.emplace_back(each.engine, each.at);
    }
    for (const auto &[engine, at] : explained)
        explain(engine, at, signature,
                std::max(quarantined.crashes, thresholdOf(signature.back().kind).moments));
}

bool request_quarantine::isCovered(const crash_signature &signature) const
{
    return std::ranges::any_of(m_quarantined,
                               [&](const auto &entry) { return matches(entry.first, signature); });
}

void request_quarantine::insertQuarantined(const crash_signature &signature, quarantine_state state)
{
    std::erase_if(m_quarantined, [&](const auto &entry) {
        if (!matches(signature, entry.first))
            return false;
        state.failedTrials = std::max(state.failedTrials, entry.second.failedTrials);
        return true;
    });
    m_quarantined.emplace(signature, state);
}

void request_quarantine::onTrialFailed(const crash_signature &tried, core::time_point at)
{
    const std::size_t failedTrials = m_quarantined.at(tried).failedTrials + 1;
    for (auto &[signature, state] : m_quarantined) {
        if (!overlaps(signature, tried))
            continue;
        state.failedTrials = std::max(state.failedTrials, failedTrials);
        extendQuarantine(state, at + durationAfter(state.failedTrials));
    }
}

void request_quarantine::extendQuarantine(quarantine_state &state, core::time_point until)
{
    if (until <= state.until + trialTimeout)
        return;
    state.until = until;
    state.trialStartedAt.reset();
    drawTrialTime(state);
}

core::duration request_quarantine::durationAfter(std::size_t failedTrials)
{
    core::duration duration = quarantineTime;
    for (std::size_t i = 0; i < std::min(failedTrials, maxTrialBackoffs); ++i)
        duration *= trialBackoffFactor;
    return duration;
}

void request_quarantine::drawTrialTime(quarantine_state &state)
{
    const core::duration spread = std::min<core::duration>(
        maxTrialSpread, trialIntervalPerNode * static_cast<int>(m_nodeCount));
    const double part = std::uniform_real_distribution<double>(0, 1)(m_random);
    state.trialAt = state.until
                    - std::chrono::duration_cast<core::duration>(
                        std::chrono::duration<double>(spread) * part);
}

void request_quarantine::explain(engine_key engine, core::time_point at,
                                 const crash_signature &cause, std::size_t moments)
{
    const explained_crash explained{engine, at, cause};
    if (m_explained.size() >= maxCrashes)
        m_explained.erase(m_explained.begin());
    m_explained.push_back(explained);
    std::vector<bool> isUnrelated(m_crashes.size());
    for (std::size_t i = 0; i < m_crashes.size(); ++i) {
        crash &each = m_crashes[i];
        if (!isSameCrash(each, explained))
            continue;
        if (matches(cause, each.features))
            each.cause = cause;
        else
            isUnrelated[i] = !isSuspectedAsMuch(each, moments);
    }
    std::size_t index = 0;
    std::erase_if(m_crashes, [&](const crash &) { return isUnrelated[index++]; });
}

std::optional<core::time_point> request_quarantine::lastAnswer(const request_feature &feature) const
{
    const answer_memory &answers = m_answered.at(static_cast<std::size_t>(feature.kind));
    for (const auto *generation : {&answers.recent, &answers.before}) {
        const auto found = generation->find(feature);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

bool request_quarantine::answeredSince(const request_feature &feature, core::time_point since) const
{
    const std::optional<core::time_point> last = lastAnswer(feature);
    return last && *last >= since;
}

void request_quarantine::recordAnswer(const request_feature &feature, core::time_point now)
{
    answer_memory &answers = m_answered.at(static_cast<std::size_t>(feature.kind));
    if (answers.recent.size() >= maxAnsweredPerGeneration)
        answers.before = std::exchange(answers.recent, {});
    core::time_point &last = answers.recent[feature];
    last = std::max(last, now);
}

bool request_quarantine::clear(const request_feature &feature)
{
    bool suspected = false;
    for (crash &each : m_crashes) {
        suspected = std::erase(each.features, feature) > 0 || suspected;
        if (each.cause && std::erase(*each.cause, feature) > 0 && each.cause->empty())
            each.cause.reset();
    }
    for (explained_crash &each : m_explained)
        std::erase(each.cause, feature);
    std::erase_if(m_explained, [](const explained_crash &each) { return each.cause.empty(); });
    std::vector<std::pair<crash_signature, quarantine_state>> cleared;
    std::erase_if(m_quarantined, [&](const auto &entry) {
        if (!contains(entry.first, feature))
            return false;
        cleared.emplace_back(entry);
        return true;
    });
    for (auto &[signature, state] : cleared) {
        std::erase(signature, feature);
        if (!signature.empty() && !isCovered(signature))
            insertQuarantined(signature, state);
    }
    return suspected || !cleared.empty();
}

} // namespace comfreypass::dispatch
