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

/** What the network and the nodes of a claim_fleet do. */
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
    /** Share of won requests that are refused at the dispatch gate. */
    double giveUp = 0;
    /** Mean times from arrival to the claim and from dispatch to the end. */
    core::duration wait{};
    core::duration run = std::chrono::milliseconds{200};
    /** Nodes' clocks differ in rate by up to this share. */
    double drift = 0.05;
};

/**
 * Claim tables and witness stores of several nodes in virtual time, with a network that delays,
 * reorders, loses and duplicates messages, and nodes that pause and restart.
 */
class claim_fleet
{
public:
    enum class answer : std::uint8_t { Open, NotRun, Unknown, Completed, ConnectionLost };

    /** One request of a caller to one node. */
    struct attempt
    {
        std::uint64_t key = 0;
        std::size_t node = 0;
        core::node_identity server;
        core::duration sentAt{};
        /** An earlier attempt of the key was not answered `not_run`. */
        bool repeat = false;
        answer result = answer::Open;
    };

    /** Sees everything that callers and upstreams can see. */
    struct observer
    {
        virtual ~observer() = default;
        virtual void onAnswer(std::size_t /*attempt*/, const attempt & /*state*/) { }
        virtual void onArrival(const core::node_identity & /*node*/, std::uint64_t /*key*/) { }
        virtual void onDispatch(const core::node_identity & /*node*/, std::uint64_t /*key*/) { }
    };

    claim_fleet(const fleet_settings &settings, observer &watcher);

    fleet_settings &settings() noexcept { return m_settings; }
    core::duration now() const noexcept { return m_now; }

    /** Sends a request; the first one of a key draws its token, and repeats say that they are. */
    std::size_t request(std::uint64_t key, std::size_t node);
    /** The caller closes its connection. */
    void hangUp(std::size_t attempt);
    void advance(core::duration time);
    void pause(std::size_t node, core::duration time);
    /** Kills a node; its next incarnation starts after `downTime`. */
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
        /** Zero for what any incarnation receives. */
        core::incarnation incarnation = 0;
        std::function<void()> action;
    };

    double chance() { return std::uniform_real_distribution<>{}(m_random); }
    core::duration upTo(core::duration most);
    core::time_point local(const node_state &node) const;
    void schedule(core::duration after, std::size_t node, core::incarnation incarnation,
                  std::function<void()> action);
    void start(std::size_t node);
    witness_token drawToken();
    void begin(std::size_t attempt);
    void transmit(std::size_t to, const std::function<void()> &delivery);
    void sendClaims(std::size_t from, const std::vector<outgoing_claim> &messages);
    void onClaim(std::size_t witness, std::size_t owner, const core::node_identity &identity,
                 const claim &message);
    void tick(std::size_t node);
    void scheduleTick(std::size_t node);
    void onOutcome(std::size_t node, const claim_outcome &outcome);
    void gate(std::size_t node, std::size_t attempt);
    void answerAttempt(std::size_t attempt, answer result);

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
