#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "dispatch/engine_load.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** Prompt of a request of this node that has had no first event yet. */
struct pending_prompt
{
    core::request_id request = 0;
    double tokens = 0;
    core::time_point startedAt{};
    core::time_point objectiveAt{};
    /** Predicted time from the start to the first event. */
    core::duration predicted{};
    /** Tokens of other prompts that the engine reads before the first event, as far as known. */
    double sharedTokens = 0;
    /** Pending tokens of the peers when the request started. */
    double peerTokensAtStart = 0;
};

/**
 * Prompt tokens that the engines have yet to read, by engine: the prompts of this node, and the
 * sums that the peers report.
 *
 * An engine interleaves the prompts that it reads, in equal shares. A prompt of T tokens therefore
 * delays each other one by as many tokens as the shorter of the two has left, and is delayed by as
 * many. Time comes in as an argument. Not thread-safe.
 */
class prefill_backlog
{
public:
    /** Time after which a prompt without a first event no longer counts. */
    static constexpr core::duration maxAge = std::chrono::seconds(5);

    /** Adds a prompt; `secondsPerToken` is the speed of the engine, 0 if unknown. */
    void add(engine_key engine, pending_prompt prompt, double secondsPerToken);

    /**
     * Removes and returns a prompt whose request has had its first event or has ended; nothing if
     * it is unknown. `sharedTokens` then includes what the peers have added since its start.
     */
    std::optional<pending_prompt> remove(engine_key engine, core::request_id request);

    /** Removes the prompts of an engine that are older than maxAge. */
    void expire(engine_key engine, core::time_point now);

    /** Replaces the pending tokens of one peer at all engines. */
    void setPeerLoads(std::uint32_t peer, std::span<const engine_load> loads);

    /** Replaces the pending tokens of one peer at one engine. */
    void setPeerLoad(std::uint32_t peer, const engine_load &load);

    /** Returns the tokens of this node's prompts at an engine, as reported to the peers. */
    std::uint32_t ownTokens(engine_key engine) const;

    /** Returns the tokens of this node's prompts at all engines. */
    double ownTokens() const;

    /** Returns the pending tokens of the peers at an engine. */
    double peerTokens(engine_key engine) const;

    /** Returns the prompts of this node at an engine; valid until the next change. */
    std::span<const pending_prompt> ownPrompts(engine_key engine) const;

    /**
     * Returns how many tokens of other prompts the engine reads before it has read `tokens` of a
     * prompt that starts now.
     */
    double sharedTokens(engine_key engine, double tokens, double secondsPerToken,
                        core::time_point now) const;

    /** Returns the tokens of an own prompt that are still to be read; an estimate. */
    double remainingTokens(engine_key engine, const pending_prompt &prompt, double secondsPerToken,
                           core::time_point now) const;

private:
    /** Returns the number of prompts being read at the engine, those of the peers estimated. */
    double promptCount(engine_key engine) const;
    double peerPromptCount(engine_key engine) const;
    void changePeerTokens(engine_key engine, double difference);

    std::unordered_map<engine_key, std::vector<pending_prompt>> m_own;
    /** Non-zero reports by peer and engine, and their sums by engine. */
    std::unordered_map<std::uint32_t, std::unordered_map<engine_key, std::uint32_t>> m_reported;
    std::unordered_map<engine_key, double> m_peerTokens;
    /** Smoothed size of the prompts that this node starts; 0 before the first. */
    double m_meanTokens = 0;
};

} // namespace comfreypass::dispatch
