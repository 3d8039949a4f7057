#pragma once

#include "scheduling/local_dispatches.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/vote_ledger.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/** Size, load and faults of a run of the simulated fleet. */
struct simulation_options
{
    std::size_t nodes = 5;
    std::size_t engines = 4;
    std::uint32_t slots = 64;
    /** If true, schedulers know the listed nodes, so that slots of cold engines have owners. */
    bool listedNames = false;
    std::size_t schedulers = 3;
    double requestsPerNodeAndSecond = 20;
    std::size_t queueCapacity = 64;
    /** Fractions of messages. */
    double lost = 0.05;
    double delayed = 0.05;
    double duplicated = 0.02;
    /** Fraction of responses that count as in time; a small one keeps the engines cold longer. */
    double inTime = 0.1;
    /** Events per second in the whole fleet. */
    double pauses = 0.1;
    double restarts = 0.03;
    double partitions = 0.15;
    double roleChanges = 0.05;
    comfreypass::core::duration length = std::chrono::seconds{60};
};

/**
 * Nodes with drifting clocks, a faulty network between them and engines that count the running
 * dispatches, all in virtual time. The counting shares no code with the library.
 */
class fleet_simulation
{
public:
    fleet_simulation(simulation_options options, std::uint64_t seed);

    void run();

    /** Dispatches started on a cold engine above the limit that its responses allow. */
    std::size_t overloads = 0;
    /** Refusals for capacity while lower-tier work was queued or running. */
    std::size_t inversions = 0;
    std::size_t dispatches = 0;
    std::size_t capacityRefusals = 0;
    std::size_t preempts = 0;
    std::size_t completions = 0;

private:
    using duration = comfreypass::core::duration;
    using time_point = comfreypass::core::time_point;
    using message = std::variant<
        comfreypass::scheduling::lease_poll, comfreypass::scheduling::step_down,
        comfreypass::scheduling::permit_grant, comfreypass::scheduling::permit_refusal,
        comfreypass::scheduling::preempt_order, comfreypass::scheduling::permit_request,
        comfreypass::scheduling::permit_release, comfreypass::scheduling::lease_vote>;

    struct packet
    {
        comfreypass::core::node_identity from;
        std::size_t sender = 0;
        std::size_t to = 0;
        message body;
        /** Sending time in the sender's clock, for the conversion of deadlines. */
        time_point sent{};
    };

    struct own_request
    {
        comfreypass::scheduling::permit_request request;
        time_point retryAt{};
        bool granted = false;
        bool running = false;
        bool atEngine = false;
        bool late = false;
        time_point useAt{};
        time_point endAt{};
    };

    /** State of a request according to the messages of a scheduler. */
    struct known_request
    {
        comfreypass::core::tier tier = 0;
        bool preemptible = true;
        bool granted = false;
        bool preempted = false;
        time_point deadline{};
    };

    struct node
    {
        comfreypass::core::node_identity identity;
        double rate = 1;
        duration offset{};
        std::unique_ptr<comfreypass::scheduling::vote_ledger> ledger;
        std::unique_ptr<comfreypass::scheduling::local_dispatches> local;
        std::unique_ptr<comfreypass::scheduling::pool_scheduler> scheduler;
        std::map<std::uint64_t, own_request> requests;
        /** By incarnation of the entry node and request. */
        std::map<std::pair<std::uint64_t, std::uint64_t>, known_request> known;
        duration pausedUntil{};
        int partition = 0;
    };

    struct engine
    {
        std::uint32_t running = 0;
        std::uint32_t limit = 1;
        std::uint32_t responses = 0;
    };

    time_point clock(const node &item) const;
    bool chance(double probability);
    duration randomDelay(std::int64_t lowMillis, std::int64_t highMillis);
    void restart(node &item);
    void setVoters(node &item);
    void applyRandomEvents();
    void chooseRole(std::size_t index);
    void makeRequests(std::size_t index);
    void step(std::size_t index);
    void advanceRequest(std::size_t index, own_request &own);
    void finishAtEngine(node &item, own_request &own);
    engine &leaveEngine(node &item, own_request &own);
    void end(std::size_t index, own_request &own, comfreypass::scheduling::dispatch_result result,
             bool inTime);
    void requestPermit(std::size_t index, own_request &own);
    void send(std::size_t from, std::size_t to, const message &body);
    void emit(std::size_t from, const std::vector<comfreypass::scheduling::outgoing> &messages);
    void recordSent(node &scheduler, const comfreypass::scheduling::outgoing &sent);
    void checkTiers(node &scheduler, std::size_t to, std::uint64_t request,
                    comfreypass::scheduling::refusal_reason reason);
    void deliver(packet item);
    std::size_t indexOf(const comfreypass::core::node_name &name) const;
    engine &engineOf(const comfreypass::core::engine_name &name);

    void receive(std::size_t at, const packet &from, comfreypass::scheduling::lease_poll &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::step_down &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::permit_grant &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::permit_refusal &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::preempt_order &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::permit_request &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::permit_release &body);
    void receive(std::size_t at, const packet &from, comfreypass::scheduling::lease_vote &body);

    simulation_options m_options;
    std::mt19937_64 m_random;
    std::size_t m_busiest;
    duration m_now{};
    std::vector<node> m_nodes;
    std::map<std::string, engine> m_engines;
    std::multimap<duration, packet> m_network;
    std::shared_ptr<const comfreypass::sheet::sheet> m_sheet;
    std::vector<comfreypass::sheet::engine_info> m_list;
};
