#pragma once

#include "dispatch/crash_signature.h"
#include "dispatch/request_feature.h"

#include <functional>
#include <span>
#include <vector>

namespace comfreypass::dispatch {

/** Features of the requests that one of several crashes has ended; one of them has caused it. */
using crash_suspects = std::vector<std::span<const request_feature>>;

/**
 * Finds the requests that each likely explanation of some crashes makes responsible.
 *
 * Features that occur in the same crashes cannot be told apart, and any of them may be shared by
 * sound requests. Only a request that has all of them is certain to have the one at fault. Where
 * two narrower causes explain the crashes as well as one feature that both share, only requests
 * that have the feature and one of the causes are certain to be at fault. So a sound request is
 * never among them, and its answer will tell the features apart.
 *
 * Not thread-safe.
 */
class crash_explanation
{
public:
    /** Returns whether an engine has ever answered a request with the feature. */
    using answered_function = std::function<bool(const request_feature &)>;

    /** `crashes` must outlive the explanation. `wasAnswered` selects between features of different
     * requests that both were at all crashes: one that was never answered is at fault. */
    crash_explanation(std::span<const crash_suspects> crashes, answered_function wasAnswered);

    /**
     * Returns the signatures of the requests that are responsible, if `feature` was at all crashes.
     * Empty if all of them are crashes of a single request. Precondition: each crash has a request
     * with the feature.
     */
    std::vector<crash_signature> signaturesFor(const request_feature &feature) const;

private:
    using crash_list = std::vector<const crash_suspects *>;

    /** Returns the signature with all other features that were at all of the crashes. */
    crash_signature completed(crash_signature signature, const crash_list &crashes) const;
    /** Returns the crashes that have a request of the signature, or those that have none. */
    static crash_list select(const crash_list &crashes, const crash_signature &signature,
                             bool matching);
    /** Returns the other features of requests of the signature. */
    static std::vector<request_feature> companions(const crash_list &crashes,
                                                   const crash_signature &signature);

    crash_list m_crashes;
    answered_function m_wasAnswered;
};

} // namespace comfreypass::dispatch
