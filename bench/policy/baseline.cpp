#include "policy/baseline.h"

#include <algorithm>

std::size_t baseline::choose(const std::vector<view> &engines)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (engines[i].inService)
            usable.push_back(i);
    }
    const auto any = [&] {
        return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random)];
    };
    switch (m_rule) {
    case rule::Random:
        return any();
    case rule::RoundRobin:
        return usable[m_turn++ % usable.size()];
    case rule::LeastReported: {
        // Breaks ties between equal reports at random.
        std::shuffle(usable.begin(), usable.end(), m_random);
        return *std::min_element(usable.begin(), usable.end(), [&](auto left, auto right) {
            return engines[left].reported < engines[right].reported;
        });
    }
    case rule::TwoChoices: {
        const std::size_t first = any();
        const std::size_t second = any();
        return engines[second].inFlight < engines[first].inFlight ? second : first;
    }
    }
    return usable.front();
}

std::string_view baseline::toString(rule which)
{
    switch (which) {
    case rule::Random:
        return "random";
    case rule::RoundRobin:
        return "round_robin";
    case rule::LeastReported:
        return "least_reported";
    case rule::TwoChoices:
        return "two_choices";
    }
    return "";
}
