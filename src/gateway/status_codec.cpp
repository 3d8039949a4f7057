#include "gateway/status_codec.h"

#include "fleet.pb.h"

#include <utility>

namespace comfreypass::gateway {

namespace {

core::error parseError(const char *what)
{
    return {core::errc::ParseFailed, what, "is not a message of this version", ""};
}

} // namespace

std::string encodeStatus(const dispatch::node_status &status)
{
    fleet::NodeStatus message;
    message.set_address(status.address);
    message.set_life(status.life);
    message.set_domain(status.domain);
    message.set_caller_port(status.callerPort);
    message.set_ready(status.ready);
    message.set_leaving(status.leaving);
    message.set_sequence(status.sequence);
    for (const std::uint64_t revision : status.revisions)
        message.add_revisions(revision);
    for (const dispatch::engine_load &load : status.loads) {
        fleet::EngineLoad &entry = *message.add_loads();
        entry.set_engine(load.engine);
        entry.set_running(load.running);
    }
    for (const dispatch::node_status::team_use &use : status.uses) {
        fleet::TeamUse &entry = *message.add_uses();
        entry.set_team(use.team);
        entry.set_total(use.total);
    }
    for (const dispatch::node_status::waiting &queue : status.queues) {
        fleet::Waiting &entry = *message.add_queues();
        entry.set_upstream(queue.upstream);
        entry.set_count(queue.count);
        entry.set_most_urgent(queue.mostUrgent);
    }
    for (const std::uint32_t address : status.known)
        message.add_known(address);
    return message.SerializeAsString();
}

core::result<dispatch::node_status> decodeStatus(std::string_view bytes)
{
    fleet::NodeStatus message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || message.address() == 0)
        return parseError("node status");
    dispatch::node_status status;
    status.address = message.address();
    status.life = message.life();
    status.domain = message.domain();
    status.callerPort = static_cast<std::uint16_t>(message.caller_port());
    status.ready = message.ready();
    status.leaving = message.leaving();
    status.sequence = message.sequence();
    status.revisions.assign(message.revisions().begin(), message.revisions().end());
    for (const fleet::EngineLoad &entry : message.loads())
        status.loads.push_back({entry.engine(), entry.running()});
    for (const fleet::TeamUse &entry : message.uses())
        status.uses.push_back({entry.team(), entry.total()});
    for (const fleet::Waiting &entry : message.queues())
        status.queues.push_back({entry.upstream(), entry.count(), entry.most_urgent()});
    status.known.assign(message.known().begin(), message.known().end());
    return status;
}

std::string encodeRecords(std::span<const dispatch::record_collection> collections)
{
    fleet::RecordSnapshot message;
    for (const dispatch::record_collection &collection : collections) {
        fleet::RecordCollection &target = *message.add_collections();
        target.set_revision(collection.revision());
        for (const auto &[key, record] : collection.records()) {
            fleet::Record &entry = *target.add_records();
            entry.set_key(record.key);
            entry.set_revision(record.revision);
            entry.set_value(record.value);
        }
    }
    return message.SerializeAsString();
}

core::result<std::vector<collection_snapshot>> decodeRecords(std::string_view bytes)
{
    fleet::RecordSnapshot message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return parseError("record snapshot");
    std::vector<collection_snapshot> collections;
    for (const fleet::RecordCollection &source : message.collections()) {
        collection_snapshot &target = collections.emplace_back();
        target.revision = source.revision();
        for (const fleet::Record &entry : source.records())
            target.records.push_back({entry.key(), entry.revision(), entry.value()});
    }
    return collections;
}

} // namespace comfreypass::gateway
