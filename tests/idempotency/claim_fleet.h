#pragma once

#include "idempotency/claim_table.h"
#include "idempotency/witness_store.h"
#include "idempotency/witness_token.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace comfreypass::idempotency {

/** Size, network faults and timing of a claim_fleet. */
struct fleet_settings
{
    std::uint64_t seed = 1;
    std::size_t nodes = 5;
    double loss = 0;
    double duplication = 0;
    /** One in this many messages is delayed by up to `longDelay`; none if zero. */
    std::uint32_t longDelayOneIn = 0;
    core::duration delay = std::chrono::milliseconds{5};
    core::duration longDelay = std::chrono::minutes{2};
    /** Fraction of won requests that are refused before dispatch. */
    double abandonRate = 0;
    /** Mean times from arrival to the claim and from dispatch to completion. */
    core::duration wait{};
    core::duration run = std::chrono::milliseconds{200};
    /** Maximum relative deviation of a node's clock rate. */
    double drift = 0.05;
};

/**
 * Claim tables and witness stores of several nodes in virtual time, with a network that delays,
 * reorders, loses and duplicates messages, and nodes that pause and restart.
 */
class claim_fleet
{
public:
    enum class attempt_result : std::uint8_t { Open, NotRun, Unknown, Completed, ConnectionLost };

    /** One request from a caller to a node. */
    struct attempt
    {
        std::uint64_t key = 0;
        std::size_t node = 0;
        core::node_identity server;
        core::duration sentAt{};
        /** An earlier attempt of the key has a response other than `not_run`, or none. */
        bool repeat = false;
        attempt_result result = attempt_result::Open;
    };

    /** Receives the events that callers and upstreams can observe. */
    struct observer
    {
        virtual ~observer() = default;
        virtual void onResponse(std::size_t /*attempt*/, const attempt & /*state*/) { }
        virtual void onArrival(const core::node_identity & /*node*/, std::uint64_t /*key*/) { }
        virtual void onDispatch(const core::node_identity & /*node*/, std::uint64_t /*key*/) { }
    };

    claim_fleet(const fleet_settings &settings, observer &watcher);

    fleet_settings &settings() noexcept { return m_settings; }
    core::duration now() const noexcept { return m_now; }

    /** Sends a request. The first one of a key creates its token; later ones may be repeats. */
    std::size_t request(std::uint64_t key, std::size_t node);
    /** Closes the caller's connection. */
    void disconnect(std::size_t attempt);
    void advance(core::duration time);
    void pause(std::size_t node, core::duration time);
    /** Stops a node abruptly; its next incarnation starts after `downTime`. */
    void restart(std::size_t node, core::duration downTime);

    bool isUp(std::size_t node) const { return m_nodes[node].claims != nullptr; }
    const std::vector<attempt> &attempts() const noexcept { return m_attempts; }
    std::uint64_t messages() const noexcept { return m_messages; }

private:
    struct node_state
    {
        core::node_identity identity;
        std::unique_ptr<claim_table> claims;
        std::unique_ptr<witness_store> witness;
        core::duration offset{};
        double rate = 1;
        core::duration pausedUntil{};
        core::duration nextTick = core::duration::max();
        std::map<std::uint64_t, std::size_t> attemptOfKey;
    };

    struct event
    {
        std::size_t node = 0;
        /** Zero for an event that any incarnation receives. */
        core::incarnation incarnation = 0;
        std::function<void()> action;
    };

    double chance() { return std::uniform_real_distribution<>{}(m_random); }
    core::duration randomUpTo(core::duration maxValue);
    core::time_point localTime(const node_state &node) const;
    void schedule(core::duration after, std::size_t node, core::incarnation incarnation,
                  std::function<void()> action);
    void start(std::size_t node);
    witness_token makeToken();
    void begin(std::size_t attempt);
    void transmit(std::size_t to, const std::function<void()> &delivery);
    void sendClaims(std::size_t from, const std::vector<outgoing_claim> &messages);
    void onClaim(std::size_t witness, std::size_t owner, const core::node_identity &identity,
                 const claim &message);
    void tick(std::size_t node);
    void scheduleTick(std::size_t node);
    void onOutcome(std::size_t node, const claim_outcome &outcome);
    void tryDispatch(std::size_t node, std::size_t attempt);
    void completeAttempt(std::size_t attempt, attempt_result result);

    fleet_settings m_settings;
    observer &m_observer;
    std::mt19937_64 m_random;
    core::duration m_now = std::chrono::hours{1};
    core::incarnation m_lastIncarnation = 0;
    std::vector<node_state> m_nodes;
    std::multimap<core::duration, event> m_events;
    std::map<std::uint64_t, witness_token> m_tokens;
    std::multimap<std::uint64_t, std::size_t> m_attemptsOfKey;
    std::vector<attempt> m_attempts;
    std::uint64_t m_messages = 0;
};

} // namespace comfreypass::idempotency
