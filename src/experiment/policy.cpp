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
    policy{"shipped", "the gateway's own decisions", createShipped},
    policy{"random", "any engine at once", createRandom},
    policy{"least-reported", "least load by reports 1.5 s old", createLeastReported},
    policy{"two-choices", "less of two by old reports and own requests", createTwoChoices},
    policy{"full-knowledge", "bound: one queue that sees everything", createFullKnowledge},
};

} // namespace

std::span<const policy> policies()
{
    return allPolicies;
}

} // namespace comfreypass::experiment
