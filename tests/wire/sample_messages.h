#pragma once

#include "core/time_point.h"
#include "wire/peer_message.h"

#include <vector>

namespace comfreypass::wire {

/** Returns one message of each type with every field set; times are whole milliseconds after `now`.
 */
inline std::vector<peer_message> sampleMessages(core::time_point now)
{
    using namespace std::chrono_literals;
    const sheet::sheet_key older{7, 20, 0xaa};
    const sheet::sheet_key newer{8, 21, 0xbb};
    const membership::member member{{core::node_name{"entry-3"}, 33},
                                    membership::member_state::Leaving,
                                    4,
                                    "127.0.0.1:7000",
                                    "[::1]:8080",
                                    core::domain_name{"sanjose-a"},
                                    5};
    const core::upstream_name upstream{"asesor-modelo"};
    const core::engine_name engine{"asesor-1"};
    const core::team_name team{"permisos"};
    const scheduling::ramp_state ramp{engine, 4, 3, 99, 12};
    const scheduling::running_dispatch running{1,    2,        engine,       3,
                                               team, {40, 50}, now + 1500ms, false};
    return {
        membership::ping{1, 2, newer, {member, member}},
        membership::ack{1, 2, newer, {member}, 1200ms},
        membership::view_sync{true, {member}},
        membership::sheet_request{older, newer, 16'384, true},
        membership::sheet_patch{older, newer, R"({"revision":8})"},
        membership::sheet_chunk{newer, 16'384, 20'000, std::string(3'616, '\0')},
        scheduling::lease_poll{upstream, 9, 1500ms, {ramp}},
        scheduling::lease_vote{upstream, 9, true, core::node_name{"entry-1"}, {running}, {ramp}},
        scheduling::step_down{upstream},
        scheduling::permit_request{1,
                                   upstream,
                                   core::model_name{"asesor"},
                                   2,
                                   team,
                                   {300, 200},
                                   {11, 12, 13},
                                   now + 30s,
                                   false},
        scheduling::permit_grant{1, 2, upstream, engine, 9, 700ms, 128},
        scheduling::permit_refusal{1, upstream, scheduling::refusal_reason::LeaseLost, 250ms},
        scheduling::permit_release{
            1, 2, upstream, scheduling::dispatch_result::NotDispatched, {300, 180}, 420ms, true},
        scheduling::preempt_order{1, 2, upstream},
        idempotency::claim{5, {~0ULL, 1}, 77, 3},
        idempotency::claim_reply{
            5, idempotency::claim_result::OwnedByOther, {core::node_name{"entry-2"}, 22}},
    };
}

} // namespace comfreypass::wire
