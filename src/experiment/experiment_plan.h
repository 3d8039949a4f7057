#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** Engines that are alike. */
struct engine_group
{
    std::uint32_t count = 1;
    /** Requests that one engine works on at once. */
    std::uint32_t slots = 8;
    /** Time between two events of a stream when one request runs. */
    core::duration step = std::chrono::milliseconds(40);
    /** Added to the step for each further request that runs. */
    core::duration stepGrowth = std::chrono::milliseconds(1);
    /** Prompt tokens that are read in a second, for all requests together. */
    double promptTokensPerSecond = 150'000;
};

/** Requests that are alike; the sizes are drawn around these means. */
struct request_profile
{
    std::string name;
    double perSecond = 1;
    double promptTokens = 1'000;
    double events = 20;
    /** Time to the first event that counts as on time. */
    core::duration objective = std::chrono::milliseconds(500);
    core::duration timeout = std::chrono::seconds(10);
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    double worth = 1;
};

/** Engines that crash and come back. */
struct engine_outage
{
    core::duration at{};
    core::duration length = std::chrono::seconds(2);
    std::uint32_t engines = 1;
};

/** What is played: an installation, its requests and its trouble. */
struct experiment_plan
{
    std::uint32_t nodes = 8;
    /** Nodes and engines are spread over them evenly. */
    std::uint32_t domains = 2;
    /** One way between any two processes. */
    core::duration messageDelay = std::chrono::milliseconds(1);
    core::duration length = std::chrono::seconds(10);
    /** Requests of this first part are played and not counted. */
    core::duration warmUp = std::chrono::seconds(2);
    std::vector<engine_group> engines;
    std::vector<request_profile> requests;
    std::vector<engine_outage> outages;
    /** Factors on the rates of all requests; one run for each. */
    std::vector<double> loads = {1};
    std::uint32_t seed = 1;
};

} // namespace comfreypass::experiment
