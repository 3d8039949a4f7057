#include "scheduling/fleet_simulation.h"

#include <algorithm>
#include <chrono>

using namespace comfreypass;
using namespace comfreypass::scheduling;
using std::chrono::milliseconds;

namespace {

const core::upstream_name upstream{"asesor-modelo"};
constexpr milliseconds simulationStep{10};
constexpr milliseconds longestDispatch{8'000};

std::shared_ptr<const sheet::sheet> makeSheet(const simulation_options &options)
{
    sheet::sheet made;
    made.entryNodes = static_cast<std::uint32_t>(options.nodes);
    made.domains[core::domain_name{"heredia-b"}] = {"central-valley", true};
    made.generations["g1"] = {20'000, 100, options.slots};
    made.upstreams[upstream].owner = core::half_name{"acib"};
    for (const char *name : {"campo", "taller"}) {
        sheet::team_spec team;
        team.tiers.fill(sheet::team_spec::tier_limit{100'000});
        made.teams[core::team_name{name}] = team;
    }
    return std::make_shared<const sheet::sheet>(std::move(made));
}

} // namespace

fleet_simulation::fleet_simulation(simulation_options options, std::uint64_t seed)
    : m_options(options), m_random(seed), m_busiest(m_random() % options.nodes),
      m_nodes(options.nodes), m_sheet(makeSheet(options))
{
    for (std::size_t i = 0; i < options.engines; ++i) {
        const std::string name = "engine-" + std::to_string(i);
        m_engines[name] = {};
        m_list.push_back({core::engine_name{name}, upstream, core::domain_name{"heredia-b"}, "g1",
                          "127.0.0.1:1", false});
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].identity.name = core::node_name{"entry-" + std::to_string(i)};
        m_nodes[i].rate = 0.996 + 0.002 * static_cast<double>(i % 5);
        m_nodes[i].offset = std::chrono::seconds{100 * (i + 1)};
        boot(m_nodes[i]);
    }
    for (node &item : m_nodes)
        setVoters(item);
    emit(0, m_nodes[0].scheduler->start(clock(m_nodes[0])));
}

void fleet_simulation::run()
{
    for (; m_now < m_options.length; m_now += simulationStep) {
        happen();
        for (node &item : m_nodes) {
            for (auto &[id, own] : item.requests)
                finishAtEngine(item, own);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_now >= m_nodes[i].pausedUntil)
                step(i);
        }
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            packet item = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            deliver(std::move(item));
        }
    }
}

fleet_simulation::time_point fleet_simulation::clock(const node &item) const
{
    const auto run = static_cast<std::int64_t>(static_cast<double>(m_now.count()) * item.rate);
    return time_point{item.offset + duration{run}};
}

bool fleet_simulation::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

fleet_simulation::duration fleet_simulation::between(std::int64_t lowMillis,
                                                     std::int64_t highMillis)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>(lowMillis, highMillis)(m_random)};
}

void fleet_simulation::boot(node &item)
{
    // The connections of a dead process end, and with them its dispatches.
    for (auto &[id, own] : item.requests) {
        if (own.running)
            leaveEngine(item, own);
    }
    item.requests.clear();
    item.known.clear();
    item.identity.incarnation = m_random();
    item.ledger = std::make_unique<vote_ledger>(clock(item));
    item.local = std::make_unique<local_dispatches>();
    scheduler_options options;
    options.queueCapacity = m_options.queueCapacity;
    options.longestColdDispatch = longestDispatch;
    item.scheduler = std::make_unique<pool_scheduler>(upstream, options);
    item.scheduler->setSheet(m_sheet, clock(item));
    item.scheduler->setEngines(m_list, clock(item));
}

void fleet_simulation::setVoters(node &item)
{
    std::vector<core::node_identity> live;
    for (const node &other : m_nodes) {
        if (other.side == item.side)
            live.push_back(other.identity);
    }
    emit(indexOf(item.identity.name), item.scheduler->setVoters(live, m_nodes.size(), clock(item)));
    if (!m_options.listedNames)
        return;
    std::vector<core::node_name> listed;
    for (const node &other : m_nodes)
        listed.push_back(other.identity.name);
    emit(indexOf(item.identity.name), item.scheduler->setListedNodes(listed, clock(item)));
}

void fleet_simulation::happen()
{
    const double perStep = std::chrono::duration<double>(simulationStep).count();
    const auto pick = [&] {
        return m_random() % m_nodes.size();
    };
    bool changed = false;
    if (chance(m_options.pauses * perStep))
        m_nodes[pick()].pausedUntil = m_now + between(100, 6'000);
    if (chance(m_options.restarts * perStep)) {
        boot(m_nodes[pick()]);
        changed = true;
    }
    if (chance(m_options.partitions * perStep)) {
        const bool healed = chance(0.5);
        for (node &item : m_nodes)
            item.side = healed ? 0 : static_cast<int>(m_random() % 2);
        changed = true;
    }
    if (chance(m_options.roleChanges * perStep)) {
        const std::size_t index = m_random() % m_options.schedulers;
        node &item = m_nodes[index];
        emit(index, item.scheduler->active() ? item.scheduler->stepDown(clock(item))
                                             : item.scheduler->start(clock(item)));
    }
    for (std::size_t i = 0; changed && i < m_nodes.size(); ++i) {
        setVoters(m_nodes[i]);
        chooseRole(i);
    }
}

void fleet_simulation::chooseRole(std::size_t index)
{
    // The first node of a side becomes its scheduler; another one may fail to notice for a while.
    node &item = m_nodes[index];
    const auto first = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const node &other) { return other.side == item.side; });
    if (&*first == &item)
        emit(index, item.scheduler->start(clock(item)));
    else if (chance(0.7))
        emit(index, item.scheduler->stepDown(clock(item)));
}

void fleet_simulation::makeRequests(std::size_t index)
{
    node &item = m_nodes[index];
    const double perStep = std::chrono::duration<double>(simulationStep).count();
    // One node gets most requests, so that its dispatches use the shares of the others.
    const double share = index == m_busiest ? 4.0 : 0.25;
    if (!chance(m_options.requestsPerNodeAndSecond * share * perStep))
        return;
    const time_point now = clock(item);
    own_request own;
    own.request.request = m_random();
    own.request.upstream = upstream;
    own.request.tier = static_cast<core::tier>(m_random() % core::tierCount);
    own.request.team = core::team_name{chance(0.7) ? "campo" : "taller"};
    own.request.cost = chance(0.5) ? request_cost{100, 20} : request_cost{4'000, 100};
    own.request.deadline = now + between(1'500, 7'500);
    own.request.preemptible = chance(0.8);
    own.request.prefixHashes = {1 + m_random() % 8};
    ask(index, item.requests.emplace(own.request.request, own).first->second);
}

void fleet_simulation::ask(std::size_t index, own_request &own)
{
    own.repeatAt = clock(m_nodes[index]) + milliseconds{400};
    const auto holder = m_nodes[index].ledger->holder(upstream, clock(m_nodes[index]));
    const std::size_t to = holder ? indexOf(holder->name) : m_random() % m_options.schedulers;
    send(index, to, own.request);
}

void fleet_simulation::step(std::size_t index)
{
    node &item = m_nodes[index];
    emit(index, item.scheduler->tick(clock(item)));
    makeRequests(index);
    for (auto it = item.requests.begin(); it != item.requests.end();) {
        own_request &own = it->second;
        useOrEnd(index, own);
        if (own.request.deadline <= clock(item) && !own.granted)
            it = item.requests.erase(it);
        else
            ++it;
    }
}

void fleet_simulation::useOrEnd(std::size_t index, own_request &own)
{
    node &item = m_nodes[index];
    const time_point now = clock(item);
    if (!own.granted) {
        if (now >= own.repeatAt)
            ask(index, own);
        return;
    }
    if (own.running) {
        if (now >= own.endAt)
            end(index, own, dispatch_result::Completed, !own.late && now < own.request.deadline);
        return;
    }
    if (now < own.useAt)
        return;
    const local_dispatches::entry permit = *item.local->find(own.request.request);
    const bool usable = item.ledger->mayUse(permit.grantor, permit.permit, now);
    if (!usable || !item.local->start(own.request.request, now)) {
        end(index, own, dispatch_result::NotDispatched, false);
        return;
    }
    own.running = own.atEngine = true;
    own.late = !chance(m_options.inTime);
    own.endAt = std::min(own.request.deadline, now + between(50, 4'000));
    ++dispatches;
    engine &on = engineOf(permit.permit.engine);
    if (++on.running > on.limit && on.limit < m_options.slots)
        ++overloads;
}

void fleet_simulation::finishAtEngine(node &item, own_request &own)
{
    // The engine ends by itself, also while the entry node is paused.
    if (!own.running || !own.atEngine || clock(item) < own.endAt)
        return;
    engine &on = leaveEngine(item, own);
    if (own.late || own.endAt >= own.request.deadline)
        return;
    ++completions;
    // The limit doubles after as many responses as its value.
    on.limit = ++on.responses == 2 * on.limit - 1 ? on.limit * 2 : on.limit;
}

fleet_simulation::engine &fleet_simulation::leaveEngine(node &item, own_request &own)
{
    engine &on = engineOf(item.local->find(own.request.request)->permit.engine);
    on.running -= own.atEngine ? 1 : 0;
    own.atEngine = false;
    return on;
}

void fleet_simulation::end(std::size_t index, own_request &own, dispatch_result result, bool inTime)
{
    node &item = m_nodes[index];
    leaveEngine(item, own);
    const auto entry = *item.local->finish(own.request.request);
    send(index, indexOf(entry.grantor.name),
         permit_release{own.request.request,
                        entry.permit.permit,
                        upstream,
                        result,
                        own.request.cost,
                        {},
                        inTime});
    own.granted = own.running = false;
    // A permit that was not used leaves the request to be asked for again.
    if (result != dispatch_result::NotDispatched)
        own.request.deadline = time_point{};
}

void fleet_simulation::send(std::size_t from, std::size_t to, const message &body)
{
    if (m_nodes[from].side != m_nodes[to].side || (from != to && chance(m_options.lost)))
        return;
    const int copies = chance(m_options.repeated) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const duration delay = chance(m_options.delayed) ? between(100, 3'000) : between(1, 20);
        m_network.emplace(m_now + (from == to ? duration{} : delay),
                          packet{m_nodes[from].identity, from, to, body, clock(m_nodes[from])});
    }
}

void fleet_simulation::emit(std::size_t from, const std::vector<outgoing> &messages)
{
    node &item = m_nodes[from];
    for (const outgoing &sent : messages)
        note(item, sent);
    for (const outgoing &sent : messages) {
        if (const auto *refusal = std::get_if<permit_refusal>(&sent.message))
            checkTiers(item, indexOf(sent.to), refusal->request, refusal->reason);
        std::visit([&](const auto &body) { send(from, indexOf(sent.to), body); }, sent.message);
    }
    std::erase_if(item.known,
                  [&](const auto &known) { return known.second.deadline <= clock(item); });
}

void fleet_simulation::note(node &scheduler, const outgoing &sent)
{
    const std::uint64_t incarnation = m_nodes[indexOf(sent.to)].identity.incarnation;
    if (const auto *grant = std::get_if<permit_grant>(&sent.message))
        scheduler.known[{incarnation, grant->request}].granted = true;
    if (const auto *order = std::get_if<preempt_order>(&sent.message)) {
        ++preempts;
        scheduler.known[{incarnation, order->request}].preempted = true;
    }
    const auto *refusal = std::get_if<permit_refusal>(&sent.message);
    if (refusal != nullptr && refusal->reason != refusal_reason::Capacity
        && refusal->reason != refusal_reason::Displaced)
        scheduler.known.erase({incarnation, refusal->request});
}

void fleet_simulation::checkTiers(node &scheduler, std::size_t to, std::uint64_t request,
                                  refusal_reason reason)
{
    if (reason != refusal_reason::Capacity && reason != refusal_reason::Displaced)
        return;
    ++capacityRefusals;
    const std::pair key{m_nodes[to].identity.incarnation, request};
    const auto refused = scheduler.known.find(key);
    if (refused == scheduler.known.end())
        return;
    const core::tier tier = refused->second.tier;
    scheduler.known.erase(refused);
    const bool inverted
        = std::any_of(scheduler.known.begin(), scheduler.known.end(), [&](const auto &item) {
              const known_request &other = item.second;
              const bool ends = !other.preemptible || other.preempted;
              return other.tier > tier && (!other.granted || !ends);
          });
    inversions += inverted ? 1 : 0;
}

void fleet_simulation::deliver(packet item)
{
    node &to = m_nodes[item.to];
    if (m_now < to.pausedUntil) {
        m_network.emplace(to.pausedUntil, std::move(item));
        return;
    }
    // The transport drops messages of an earlier process.
    if (item.from != m_nodes[item.sender].identity)
        return;
    std::visit([&](auto &body) { receive(item.to, item, body); }, item.body);
}

void fleet_simulation::receive(std::size_t at, const packet &from, lease_poll &body)
{
    node &item = m_nodes[at];
    send(at, from.sender,
         item.ledger->onPoll(from.from, body, item.local->running(upstream), clock(item)));
}

void fleet_simulation::receive(std::size_t at, const packet &from, step_down &body)
{
    m_nodes[at].ledger->onStepDown(from.from, body);
}

void fleet_simulation::receive(std::size_t at, const packet &from, permit_grant &body)
{
    node &item = m_nodes[at];
    const auto own = item.requests.find(body.request);
    const auto *held = item.local->find(body.request);
    if (held != nullptr && held->permit.permit == body.permit)
        return;
    const bool accepted = own != item.requests.end()
                          && item.local->onGrant(from.from, body, own->second.request, clock(item));
    if (!accepted) {
        send(at, from.sender,
             permit_release{body.request,
                            body.permit,
                            upstream,
                            dispatch_result::NotDispatched,
                            {},
                            {},
                            false});
        return;
    }
    own->second.granted = true;
    own->second.useAt = clock(item) + (chance(0.8) ? duration{} : between(0, 900));
}

void fleet_simulation::receive(std::size_t at, const packet &from, permit_refusal &body)
{
    node &item = m_nodes[at];
    const auto own = item.requests.find(body.request);
    const bool repeats
        = body.reason == refusal_reason::NotScheduler || body.reason == refusal_reason::LeaseLost;
    if (own != item.requests.end() && !own->second.granted && !repeats)
        item.requests.erase(own);
    static_cast<void>(from);
}

void fleet_simulation::receive(std::size_t at, const packet &from, preempt_order &body)
{
    node &item = m_nodes[at];
    const auto own = item.requests.find(body.request);
    const auto *held = item.local->find(body.request);
    if (own != item.requests.end() && held != nullptr && held->permit.permit == body.permit)
        end(at, own->second, dispatch_result::Cancelled, false);
    static_cast<void>(from);
}

void fleet_simulation::receive(std::size_t at, const packet &from, permit_request &body)
{
    node &item = m_nodes[at];
    permit_request request = body;
    request.deadline = clock(item) + (body.deadline - from.sent);
    if (item.scheduler->active()) {
        item.known.try_emplace(
            {from.from.incarnation, body.request},
            known_request{body.tier, body.preemptible, false, false, request.deadline});
    }
    emit(at, item.scheduler->onPermitRequest(from.from, request, clock(item)));
}

void fleet_simulation::receive(std::size_t at, const packet &from, permit_release &body)
{
    node &item = m_nodes[at];
    item.known.erase({from.from.incarnation, body.request});
    emit(at, item.scheduler->onRelease(from.from, body, clock(item)));
}

void fleet_simulation::receive(std::size_t at, const packet &from, lease_vote &body)
{
    node &item = m_nodes[at];
    for (running_dispatch &running : body.running)
        running.deadline = clock(item) + (running.deadline - from.sent);
    emit(at, item.scheduler->onVote(from.from, body, clock(item)));
}

std::size_t fleet_simulation::indexOf(const core::node_name &name) const
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const node &item) { return item.identity.name == name; });
    return static_cast<std::size_t>(found - m_nodes.begin());
}

fleet_simulation::engine &fleet_simulation::engineOf(const core::engine_name &name)
{
    return m_engines.at(name.text());
}
