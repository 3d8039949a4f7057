#include "experiment/policy.h"

#include "experiment/full_knowledge.h"
#include "experiment/reported_load.h"
#include "experiment/shipped_placement.h"

#include <array>

namespace comfreypass::experiment {

namespace {

std::unique_ptr<placement> createShipped(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<shipped_placement>(plan, host);
}

std::unique_ptr<placement> createRandom(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::randomEngine);
}

std::unique_ptr<placement> createLeastReported(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::leastReported);
}

std::unique_ptr<placement> createTwoChoices(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::lessLoadedOfTwo);
}

std::unique_ptr<placement> createFullKnowledge(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<full_knowledge>(plan, host);
}

constexpr std::array allPolicies = {
    policy{"shipped", "dispatch decisions of the gateway", createShipped},
    policy{"random", "random engine, without a queue", createRandom},
    policy{"least-reported", "lowest load in reports that are up to 1.5 s old",
           createLeastReported},
    policy{"two-choices", "less loaded of two random engines, by load reports and own requests",
           createTwoChoices},
    policy{"full-knowledge", "upper bound: a single queue that knows all engine loads",
           createFullKnowledge},
};

} // namespace

std::span<const policy> policies()
{
    return allPolicies;
}

} // namespace comfreypass::experiment
