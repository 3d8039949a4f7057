#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::experiment {

/** A group of identical engines. */
struct engine_group
{
    std::uint32_t count = 1;
    /** Requests that one engine processes concurrently. */
    std::uint32_t slots = 8;
    /** Time between two events of a stream while one request runs. */
    core::duration step = std::chrono::milliseconds(40);
    /** Added to the step for each additional running request. */
    core::duration stepGrowth = std::chrono::milliseconds(1);
    /** Prompt tokens prefilled per second, for all requests together. */
    double promptTokensPerSecond = 150'000;
};

/** A class of requests; the sizes are random with these means. */
struct request_profile
{
    std::string name;
    double perSecond = 1;
    double promptTokens = 1'000;
    double events = 20;
    /** Maximum time to the first event of a request that is on time. */
    core::duration objective = std::chrono::milliseconds(500);
    core::duration timeout = std::chrono::seconds(10);
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    double worth = 1;
};

/** Engines that crash and restart. */
struct engine_outage
{
    core::duration at{};
    core::duration length = std::chrono::seconds(2);
    std::uint32_t engines = 1;
};

/** The simulated deployment, its requests and its outages. */
struct experiment_plan
{
    std::uint32_t nodes = 8;
    /** Failure domains; nodes and engines are spread evenly over them. */
    std::uint32_t domains = 2;
    /** One-way delay between any two processes. */
    core::duration messageDelay = std::chrono::milliseconds(1);
    core::duration length = std::chrono::seconds(10);
    /** Requests that arrive in this initial period are simulated but not measured. */
    core::duration warmUp = std::chrono::seconds(2);
    std::vector<engine_group> engines;
    std::vector<request_profile> requests;
    std::vector<engine_outage> outages;
    /** Factors applied to all request rates, with one run per factor. */
    std::vector<double> loads = {1};
    std::uint32_t seed = 1;
};

} // namespace comfreypass::experiment
