#include "dispatch/prefill_backlog.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace comfreypass::dispatch {

namespace {

/** Weight of a new prompt in the smoothed prompt size. */
constexpr double meanWeight = 0.02;

/** Share of a prompt in the backlog that is unread on average; peers report whole prompts. */
constexpr double unreadShare = 0.5;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

double sumOf(std::span<const pending_prompt> prompts)
{
    return std::accumulate(
        prompts.begin(), prompts.end(), 0.0,
        [](double sum, const pending_prompt &each) { return sum + each.tokens; });
}

} // namespace

void prefill_backlog::add(engine_key engine, pending_prompt prompt, double secondsPerToken)
{
    m_meanTokens = m_meanTokens > 0 ? m_meanTokens + meanWeight * (prompt.tokens - m_meanTokens)
                                    : prompt.tokens;
    prompt.peerTokensAtStart = peerTokens(engine);
    prompt.sharedTokens = sharedTokens(engine, prompt.tokens, secondsPerToken, prompt.startedAt);
    std::vector<double> delays;
    for (const pending_prompt &each : ownPrompts(engine))
        delays.push_back(std::min(
            prompt.tokens, remainingTokens(engine, each, secondsPerToken, prompt.startedAt)));
    std::vector<pending_prompt> &prompts = m_own[engine];
    for (std::size_t i = 0; i < delays.size(); ++i)
        prompts[i].sharedTokens += delays[i];
    prompts.push_back(prompt);
}

std::optional<pending_prompt> prefill_backlog::remove(engine_key engine, core::request_id request)
{
    const auto found = m_own.find(engine);
    if (found == m_own.end())
        return std::nullopt;
    const auto prompt = std::ranges::find(found->second, request, &pending_prompt::request);
    if (prompt == found->second.end())
        return std::nullopt;
    pending_prompt removed = *prompt;
    found->second.erase(prompt);
    if (found->second.empty())
        m_own.erase(found);
    const double added = std::max(0.0, peerTokens(engine) - removed.peerTokensAtStart);
    removed.sharedTokens += std::min(removed.tokens, unreadShare * added);
    return removed;
}

void prefill_backlog::expire(engine_key engine, core::time_point now)
{
    const auto found = m_own.find(engine);
    if (found == m_own.end())
        return;
    std::erase_if(found->second,
                  [now](const pending_prompt &each) { return now - each.startedAt > maxAge; });
    if (found->second.empty())
        m_own.erase(found);
}

void prefill_backlog::setPeerLoads(std::uint32_t peer, std::span<const engine_load> loads)
{
    const auto before = m_reported.extract(peer);
    if (!before.empty()) {
        for (const auto &[engine, tokens] : before.mapped())
            changePeerTokens(engine, -static_cast<double>(tokens));
    }
    for (const engine_load &each : loads)
        setPeerLoad(peer, each);
}

void prefill_backlog::setPeerLoad(std::uint32_t peer, const engine_load &load)
{
    const auto found = m_reported.find(peer);
    if (load.pendingPromptTokens == 0 && found == m_reported.end())
        return;
    auto &reported = m_reported[peer];
    std::uint32_t &known = reported[load.engine];
    const std::uint32_t before = std::exchange(known, load.pendingPromptTokens);
    changePeerTokens(load.engine, static_cast<double>(known) - static_cast<double>(before));
    if (known == 0)
        reported.erase(load.engine);
    if (reported.empty())
        m_reported.erase(peer);
}

// The sums are exact, since all terms are integers below 2^32.
void prefill_backlog::changePeerTokens(engine_key engine, double difference)
{
    double &sum = m_peerTokens[engine];
    sum += difference;
    if (sum <= 0)
        m_peerTokens.erase(engine);
}

std::uint32_t prefill_backlog::ownTokens(engine_key engine) const
{
    constexpr double maxReported = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(sumOf(ownPrompts(engine)), maxReported));
}

double prefill_backlog::ownTokens() const
{
    double sum = 0;
    for (const auto &[engine, prompts] : m_own)
        sum += sumOf(prompts);
    return sum;
}

double prefill_backlog::peerTokens(engine_key engine) const
{
    const auto found = m_peerTokens.find(engine);
    return found == m_peerTokens.end() ? 0 : found->second;
}

std::span<const pending_prompt> prefill_backlog::ownPrompts(engine_key engine) const
{
    const auto found = m_own.find(engine);
    return found == m_own.end() ? std::span<const pending_prompt>() : found->second;
}

double prefill_backlog::sharedTokens(engine_key engine, double tokens, double secondsPerToken,
                                     core::time_point now) const
{
    double sum = std::min(unreadShare * peerTokens(engine), tokens * peerPromptCount(engine));
    for (const pending_prompt &each : ownPrompts(engine))
        sum += std::min(tokens, remainingTokens(engine, each, secondsPerToken, now));
    return sum;
}

double prefill_backlog::remainingTokens(engine_key engine, const pending_prompt &prompt,
                                        double secondsPerToken, core::time_point now) const
{
    if (secondsPerToken <= 0)
        return prompt.tokens;
    const double read = seconds(now - prompt.startedAt) / secondsPerToken / promptCount(engine);
    // A prompt that has taken longer than predicted is about to be read.
    return std::max(0.0, prompt.tokens - read);
}

double prefill_backlog::promptCount(engine_key engine) const
{
    return std::max(1.0, static_cast<double>(ownPrompts(engine).size()) + peerPromptCount(engine));
}

double prefill_backlog::peerPromptCount(engine_key engine) const
{
    return m_meanTokens > 0 ? std::ceil(peerTokens(engine) / m_meanTokens) : 0;
}

} // namespace comfreypass::dispatch
