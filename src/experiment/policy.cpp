#include "experiment/policy.h"

#include "experiment/full_knowledge.h"
#include "experiment/reported_load.h"
#include "experiment/shipped_placement.h"

#include <array>

namespace comfreypass::experiment {

namespace {

std::unique_ptr<placement> makeShipped(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<shipped_placement>(plan, host);
}

std::unique_ptr<placement> makeRandom(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::anyEngine);
}

std::unique_ptr<placement> makeLeastReported(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::leastReported);
}

std::unique_ptr<placement> makeTwoChoices(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<reported_load>(plan, host, &reported_load::betterOfTwo);
}

std::unique_ptr<placement> makeFullKnowledge(const experiment_plan &plan, placement_host &host)
{
    return std::make_unique<full_knowledge>(plan, host);
}

constexpr std::array table = {
    policy{"shipped", "the gateway's own decisions", makeShipped},
    policy{"random", "any engine at once", makeRandom},
    policy{"least-reported", "least load by reports 1.5 s old", makeLeastReported},
    policy{"two-choices", "less of two by old reports and own requests", makeTwoChoices},
    policy{"full-knowledge", "bound: one queue that sees everything", makeFullKnowledge},
};

} // namespace

std::span<const policy> policies()
{
    return table;
}

} // namespace comfreypass::experiment
