#include "dispatch/crash_explanation.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace comfreypass::dispatch {

namespace {

bool hasRequestOf(const crash_suspects &crash, const crash_signature &signature)
{
    return std::ranges::any_of(
        crash, [&](std::span<const request_feature> each) { return matches(signature, each); });
}

bool isRequest(const crash_signature &signature)
{
    return signature.back().kind == feature_kind::Request;
}

} // namespace

crash_explanation::crash_explanation(std::span<const crash_suspects> crashes,
                                     answered_function wasAnswered)
    : m_wasAnswered(std::move(wasAnswered))
{
    for (const crash_suspects &each : crashes)
        m_crashes.push_back(&each);
}

std::vector<crash_signature> crash_explanation::signaturesFor(const request_feature &feature) const
{
    const crash_signature common = completed({feature}, m_crashes);
    if (isRequest(common))
        return {};
    // What was answered before is no better an explanation than what never was.
    const bool wasCommonAnswered = std::ranges::all_of(common, m_wasAnswered);
    for (const request_feature &narrower : companions(m_crashes, common)) {
        const crash_signature first = extended(common, narrower);
        if (isRequest(first) || (m_wasAnswered(narrower) && !wasCommonAnswered))
            continue;
        const crash_list rest = select(m_crashes, first, false);
        for (const request_feature &other : companions({rest.front()}, common)) {
            const crash_signature second = extended(common, other);
            if (select(rest, second, false).empty())
                return {completed(first, select(m_crashes, first, true)), completed(second, rest)};
        }
    }
    return {common};
}

crash_signature crash_explanation::completed(crash_signature signature,
                                             const crash_list &crashes) const
{
    // The digest of a request implies its other features.
    while (!isRequest(signature)) {
        std::optional<request_feature> next;
        for (const request_feature &each : companions({crashes.front()}, signature)) {
            const bool isBetter = !next || (m_wasAnswered(*next) && !m_wasAnswered(each));
            if (isBetter && select(crashes, extended(signature, each), false).empty())
                next = each;
        }
        if (!next)
            return signature;
        signature = extended(std::move(signature), *next);
    }
    return {signature.back()};
}

crash_explanation::crash_list crash_explanation::select(const crash_list &crashes,
                                                        const crash_signature &signature,
                                                        bool matching)
{
    crash_list selected;
    std::ranges::copy_if(crashes, std::back_inserter(selected), [&](const crash_suspects *each) {
        return hasRequestOf(*each, signature) == matching;
    });
    return selected;
}

std::vector<request_feature> crash_explanation::companions(const crash_list &crashes,
                                                           const crash_signature &signature)
{
    std::set<request_feature> found;
    for (const crash_suspects *crash : crashes) {
        for (const std::span<const request_feature> request : *crash) {
            if (matches(signature, request))
                found.insert(request.begin(), request.end());
        }
    }
    for (const request_feature &each : signature)
        found.erase(each);
    return {found.begin(), found.end()};
}

} // namespace comfreypass::dispatch
