#include "experiment/parse_plan.h"

#include "sheet/object_reader.h"
#include "sheet/parse_json.h"

#include <chrono>
#include <utility>

namespace comfreypass::experiment {

namespace {

using sheet::object_reader;
using sheet::presence;

// Limits that keep a run within minutes and a few hundred megabytes.
constexpr std::int64_t maxNodes = 1'000;
constexpr std::int64_t maxEngines = 10'000;
constexpr std::int64_t maxDomains = 100;
constexpr std::int64_t maxSlots = 10'000;
constexpr double maxRequestsPerSecond = 100'000;
constexpr double maxTokens = 10'000'000;
constexpr double maxSeconds = 3'600;
constexpr double maxWorth = 1'000'000;
constexpr double maxLoad = 100;

const char *validateNonEmpty(std::string_view text)
{
    return text.empty() ? "a non-empty string" : nullptr;
}

void readTime(object_reader &reader, std::string_view key, double unitSeconds, double minValue,
              core::duration &target)
{
    double value = std::chrono::duration<double>(target).count() / unitSeconds;
    reader.real(key, presence::Optional, {minValue, maxSeconds / unitSeconds}, value);
    target = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(value * unitSeconds));
}

void readSeconds(object_reader &reader, std::string_view key, core::duration &target)
{
    readTime(reader, key, 1, 0, target);
}

void readMilliseconds(object_reader &reader, std::string_view key, double minValue,
                      core::duration &target)
{
    constexpr double unit = 0.001;
    readTime(reader, key, unit, minValue, target);
}

engine_group readEngines(object_reader &reader)
{
    engine_group group;
    reader.integer("count", presence::Required, {1, maxEngines}, group.count);
    reader.integer("slots", presence::Required, {1, maxSlots}, group.slots);
    readMilliseconds(reader, "stepMs", 1, group.step);
    readMilliseconds(reader, "stepGrowthMs", 0, group.stepGrowth);
    reader.real("promptTokensPerSecond", presence::Optional, {1, maxTokens},
                group.promptTokensPerSecond);
    reader.reportUnknownKeys();
    return group;
}

request_profile readRequests(object_reader &reader)
{
    request_profile profile;
    reader.text("name", presence::Required, validateNonEmpty, profile.name);
    reader.real("perSecond", presence::Required, {0, maxRequestsPerSecond}, profile.perSecond);
    reader.real("promptTokens", presence::Optional, {0, maxTokens}, profile.promptTokens);
    reader.real("events", presence::Optional, {1, maxTokens}, profile.events);
    readMilliseconds(reader, "objectiveMs", 1, profile.objective);
    readMilliseconds(reader, "timeoutMs", 1, profile.timeout);
    reader.integer("priority", presence::Optional, {0, 1'000}, profile.priority);
    reader.real("worth", presence::Optional, {0, maxWorth}, profile.worth);
    reader.reportUnknownKeys();
    return profile;
}

engine_outage readOutage(object_reader &reader)
{
    engine_outage outage;
    readSeconds(reader, "atSeconds", outage.at);
    readSeconds(reader, "lengthSeconds", outage.length);
    reader.integer("engines", presence::Required, {1, maxEngines}, outage.engines);
    reader.reportUnknownKeys();
    return outage;
}

} // namespace

sheet::validated<experiment_plan> parsePlan(std::string_view text)
{
    auto document = sheet::parseJson(text, maxPlanBytes);
    if (!document)
        return std::move(document).error();
    std::vector<core::error> errors;
    experiment_plan plan;
    object_reader reader(&document.value(), "", errors);
    reader.integer("nodes", presence::Required, {1, maxNodes}, plan.nodes);
    reader.integer("domains", presence::Optional, {1, maxDomains}, plan.domains);
    readMilliseconds(reader, "messageDelayMs", 0, plan.messageDelay);
    readSeconds(reader, "lengthSeconds", plan.length);
    readSeconds(reader, "warmUpSeconds", plan.warmUp);
    reader.integer("seed", presence::Optional, {0, 4'294'967'295}, plan.seed);
    reader.elements("engines",
                    [&](object_reader &each) { plan.engines.push_back(readEngines(each)); });
    reader.elements("requests",
                    [&](object_reader &each) { plan.requests.push_back(readRequests(each)); });
    if (reader.has("outages"))
        reader.elements("outages",
                        [&](object_reader &each) { plan.outages.push_back(readOutage(each)); });
    if (reader.has("loads")) {
        plan.loads.clear();
        reader.elements("loads", [&](object_reader &each) {
            double factor = 1;
            each.real("factor", presence::Required, {0.0, maxLoad}, factor);
            each.reportUnknownKeys();
            plan.loads.push_back(factor);
        });
    }
    reader.reportUnknownKeys();
    if (plan.engines.empty() || plan.requests.empty())
        reader.addError("", "defines no engines or no requests", "add at least one of each");
    if (plan.warmUp >= plan.length)
        reader.addError("/warmUpSeconds", "is not less than lengthSeconds", "lower it");
    if (!errors.empty())
        return errors;
    return plan;
}

} // namespace comfreypass::experiment
