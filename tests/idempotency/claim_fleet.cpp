#include "idempotency/claim_fleet.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace comfreypass::idempotency {

claim_fleet::claim_fleet(const fleet_settings &settings, observer &watcher)
    : m_settings(settings), m_observer(watcher), m_random(settings.seed), m_nodes(settings.nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].offset = randomUpTo(std::chrono::hours{100});
        m_nodes[i].rate = 1 + m_settings.drift * (2 * chance() - 1);
        start(i);
    }
}

std::size_t claim_fleet::request(std::uint64_t key, std::size_t node)
{
    if (!m_tokens.contains(key))
        m_tokens.emplace(key, makeToken());
    const std::size_t id = m_attempts.size();
    const auto [first, last] = m_attemptsOfKey.equal_range(key);
    const bool repeat = std::any_of(first, last, [&](const auto &item) {
        return m_attempts[item.second].result != attempt_result::NotRun;
    });
    m_attemptsOfKey.emplace(key, id);
    m_attempts.push_back({key, node, m_nodes[node].identity, m_now, repeat, attempt_result::Open});
    if (!isUp(node)) {
        completeAttempt(id, attempt_result::ConnectionLost);
        return id;
    }
    schedule(randomUpTo(2 * m_settings.wait), node, m_nodes[node].identity.incarnation,
             [=, this] { begin(id); });
    return id;
}

void claim_fleet::disconnect(std::size_t attempt)
{
    const auto [key, node, server, sentAt, repeat, result] = m_attempts[attempt];
    if (result != attempt_result::Open)
        return;
    const auto found = m_nodes[node].attemptOfKey.find(key);
    if (isUp(node) && found != m_nodes[node].attemptOfKey.end() && found->second == attempt)
        m_nodes[node].claims->abandonRound({key, key});
    completeAttempt(attempt, attempt_result::ConnectionLost);
}

void claim_fleet::advance(core::duration time)
{
    const core::duration end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        node_state &node = m_nodes[next.mapped().node];
        if (node.pausedUntil > m_now) {
            next.key() = node.pausedUntil;
            m_events.insert(std::move(next));
            continue;
        }
        const core::incarnation incarnation = next.mapped().incarnation;
        if (incarnation == 0
            || (isUp(next.mapped().node) && incarnation == node.identity.incarnation))
            next.mapped().action();
    }
    m_now = end;
}

void claim_fleet::pause(std::size_t node, core::duration time)
{
    m_nodes[node].pausedUntil = std::max(m_nodes[node].pausedUntil, m_now + time);
}

void claim_fleet::restart(std::size_t node, core::duration downTime)
{
    if (!isUp(node))
        return;
    m_nodes[node].claims.reset();
    m_nodes[node].witness.reset();
    m_nodes[node].attemptOfKey.clear();
    m_nodes[node].pausedUntil = {};
    m_nodes[node].nextTick = core::duration::max();
    for (std::size_t id = 0; id < m_attempts.size(); ++id) {
        if (m_attempts[id].node == node && m_attempts[id].result == attempt_result::Open)
            completeAttempt(id, attempt_result::ConnectionLost);
    }
    schedule(downTime, node, 0, [=, this] { start(node); });
}

core::duration claim_fleet::randomUpTo(core::duration maxValue)
{
    return core::duration{
        std::uniform_int_distribution<core::duration::rep>{0, maxValue.count()}(m_random)};
}

core::time_point claim_fleet::localTime(const node_state &node) const
{
    const double passed = static_cast<double>(m_now.count()) * node.rate;
    return core::time_point{node.offset + core::duration{static_cast<std::int64_t>(passed)}};
}

void claim_fleet::schedule(core::duration after, std::size_t node, core::incarnation incarnation,
                           std::function<void()> action)
{
    m_events.emplace(m_now + after, event{node, incarnation, std::move(action)});
}

void claim_fleet::start(std::size_t node)
{
    node_state &state = m_nodes[node];
    state.identity = {core::node_name{std::to_string(node)}, ++m_lastIncarnation};
    state.claims = std::make_unique<claim_table>(state.identity);
    state.witness = std::make_unique<witness_store>(state.identity.incarnation, localTime(state));
}

witness_token claim_fleet::makeToken()
{
    std::vector<std::size_t> order(m_nodes.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), m_random);
    witness_token token;
    for (const std::size_t node : order) {
        if (!isUp(node) || token.witnesses.size() == maxWitnesses)
            continue;
        // The issuer of the token may have an outdated epoch.
        const std::uint64_t epoch = m_nodes[node].witness->epoch(localTime(m_nodes[node]));
        const std::uint64_t late = std::min<std::uint64_t>(epoch, m_random() % 2);
        token.witnesses.push_back({m_nodes[node].identity, epoch - late});
    }
    return token;
}

void claim_fleet::begin(std::size_t attempt)
{
    const auto [key, node, server, sentAt, repeat, result] = m_attempts[attempt];
    if (result != attempt_result::Open)
        return;
    node_state &state = m_nodes[node];
    m_observer.onArrival(state.identity, key);
    const core::time_point now = localTime(state);
    const claim_start claimStart = state.claims->begin({key, key}, m_tokens.at(key),
                                                       now + std::chrono::seconds{30}, now, repeat);
    if (claimStart.result != claim_start::status::Started) {
        const bool known = claimStart.result == claim_start::status::Known;
        completeAttempt(attempt,
                        known || repeat ? attempt_result::Unknown : attempt_result::NotRun);
        return;
    }
    state.attemptOfKey[key] = attempt;
    sendClaims(node, claimStart.messages);
    scheduleTick(node);
}

void claim_fleet::transmit(std::size_t to, const std::function<void()> &delivery)
{
    ++m_messages;
    const int copies = (chance() < m_settings.loss ? 0 : 1) + (chance() < m_settings.duplication);
    for (int i = 0; i < copies; ++i) {
        core::duration delay = randomUpTo(m_settings.delay);
        if (m_settings.longDelayOneIn != 0 && m_random() % m_settings.longDelayOneIn == 0)
            delay += randomUpTo(m_settings.longDelay);
        schedule(delay, to, 0, [this, to, delivery] {
            if (isUp(to))
                delivery();
        });
    }
}

void claim_fleet::sendClaims(std::size_t from, const std::vector<outgoing_claim> &messages)
{
    for (const outgoing_claim &sent : messages) {
        const std::size_t to = std::stoul(sent.to.text());
        transmit(to, [=, this, identity = m_nodes[from].identity] {
            onClaim(to, from, identity, sent.message);
        });
    }
}

void claim_fleet::onClaim(std::size_t witness, std::size_t owner,
                          const core::node_identity &identity, const claim &message)
{
    const node_state &state = m_nodes[witness];
    const claim_reply reply = state.witness->onClaim(identity, message, localTime(state));
    transmit(owner, [=, this, sender = state.identity] {
        if (const auto outcome = m_nodes[owner].claims->onReply(sender, reply))
            onOutcome(owner, *outcome);
    });
}

void claim_fleet::tick(std::size_t node)
{
    m_nodes[node].nextTick = core::duration::max();
    const claim_step step = m_nodes[node].claims->onTime(localTime(m_nodes[node]));
    sendClaims(node, step.messages);
    for (const claim_outcome &outcome : step.ended)
        onOutcome(node, outcome);
    scheduleTick(node);
}

void claim_fleet::scheduleTick(std::size_t node)
{
    node_state &state = m_nodes[node];
    const auto next = state.claims->nextTime();
    if (!next.has_value())
        return;
    const double passed = static_cast<double>((*next - localTime(state)).count()) / state.rate;
    const core::duration after{std::max<std::int64_t>(1, static_cast<std::int64_t>(passed) + 1)};
    if (m_now + after >= state.nextTick)
        return;
    state.nextTick = m_now + after;
    schedule(after, node, state.identity.incarnation, [=, this] { tick(node); });
}

void claim_fleet::onOutcome(std::size_t node, const claim_outcome &outcome)
{
    node_state &state = m_nodes[node];
    const std::size_t attempt = state.attemptOfKey.at(outcome.key.high);
    if (outcome.decision == claim_decision::Won) {
        schedule(randomUpTo(std::chrono::milliseconds{20}), node, state.identity.incarnation,
                 [=, this] { tryDispatch(node, attempt); });
        return;
    }
    completeAttempt(attempt, outcome.notRun() ? attempt_result::NotRun : attempt_result::Unknown);
}

void claim_fleet::tryDispatch(std::size_t node, std::size_t attempt)
{
    node_state &state = m_nodes[node];
    const std::uint64_t number = m_attempts[attempt].key;
    const request_key key{number, number};
    const bool callerDisconnected = m_attempts[attempt].result != attempt_result::Open;
    if (callerDisconnected || chance() < m_settings.abandonRate) {
        state.claims->abandonOwned(key);
        completeAttempt(attempt, attempt_result::NotRun);
        return;
    }
    if (!state.claims->dispatch(key, localTime(state)))
        return;
    m_observer.onDispatch(state.identity, number);
    schedule(randomUpTo(2 * m_settings.run), node, state.identity.incarnation, [=, this] {
        m_nodes[node].claims->finish(key);
        completeAttempt(attempt, attempt_result::Completed);
    });
}

void claim_fleet::completeAttempt(std::size_t attempt, attempt_result result)
{
    if (m_attempts[attempt].result != attempt_result::Open)
        return;
    m_attempts[attempt].result = result;
    // The observer may send the next request, which may reallocate the attempts, so it gets a copy.
    const claim_fleet::attempt state = m_attempts[attempt];
    m_observer.onResponse(attempt, state);
}

} // namespace comfreypass::idempotency
