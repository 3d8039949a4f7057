#include "gateway/status_codec.h"

#include "fleet.pb.h"
#include "gateway/record_source.h"
#include "gateway/value_compression.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace comfreypass::gateway {

namespace {

void readLoads(const google::protobuf::RepeatedPtrField<fleet::EngineLoad> &entries,
               std::vector<dispatch::engine_load> &loads)
{
    for (const fleet::EngineLoad &entry : entries)
        loads.push_back({entry.engine(), entry.running(), entry.pending_prompt_tokens()});
}

void writeLoad(const dispatch::engine_load &load, fleet::EngineLoad &entry)
{
    entry.set_engine(load.engine);
    entry.set_running(load.running);
    entry.set_pending_prompt_tokens(load.pendingPromptTokens);
}

void readQueues(const google::protobuf::RepeatedPtrField<fleet::Waiting> &entries,
                std::vector<dispatch::node_status::queue_length> &queues)
{
    for (const fleet::Waiting &entry : entries)
        queues.push_back({entry.upstream(), entry.count(), entry.most_urgent()});
}

void writeQueue(const dispatch::node_status::queue_length &queue, fleet::Waiting &entry)
{
    entry.set_upstream(queue.upstream);
    entry.set_count(queue.count);
    entry.set_most_urgent(queue.highestPriority);
}

core::error parseError(const char *what)
{
    return {core::errc::ParseFailed, what, "is not a message of this version", ""};
}

dispatch::node_status readStatus(const fleet::NodeStatus &message)
{
    dispatch::node_status status;
    status.address = message.address();
    status.incarnation = message.life();
    status.domain = message.domain();
    status.callerPort = static_cast<std::uint16_t>(message.caller_port());
    status.ready = message.ready();
    status.leaving = message.leaving();
    status.sequence = message.sequence();
    status.configurationVersion = message.configuration_version();
    // A peer of an earlier build sends no eras.
    for (int i = 0; i < message.revisions_size(); ++i)
        status.revisions.emplace_back(i < message.eras_size() ? message.eras(i) : 0,
                                      message.revisions(i));
    readLoads(message.loads(), status.loads);
    for (const fleet::EnginePace &entry : message.paces())
        status.latencies.push_back({entry.engine(), entry.pace_seconds(), entry.read_seconds()});
    for (const fleet::TeamUse &entry : message.uses())
        status.teamUsage.push_back({entry.team(), entry.total()});
    readQueues(message.queues(), status.queues);
    status.knownNodes.assign(message.known().begin(), message.known().end());
    if (fleet::SourceState_IsValid(message.source()))
        status.source = static_cast<dispatch::source_state>(message.source());
    return status;
}

void writeRecord(const dispatch::published_record &record, fleet::Record &target,
                 core::time_point now = {})
{
    using std::chrono::milliseconds;
    if (record.readAt != core::time_point{} && now > record.readAt)
        target.set_age_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now - record.readAt).count()));
    target.set_key(record.key);
    target.set_revision(record.revision.number);
    target.set_era(record.revision.era);
    if (record.compressedValue.empty()) {
        target.set_value(record.value);
        return;
    }
    target.set_compressed_value(record.compressedValue);
    target.set_value_size(record.value.size());
}

/** An older record counts as of this age. */
constexpr std::chrono::milliseconds maxRecordAge = std::chrono::hours(24);

/** Reads a record. A value that cannot be decompressed is empty, as is its compressed form. */
dispatch::published_record readRecord(const fleet::Record &source, core::time_point now = {})
{
    dispatch::published_record record;
    record.key = source.key();
    record.revision = {source.era(), source.revision()};
    record.value = source.value();
    record.compressedValue = source.compressed_value();
    if (!record.compressedValue.empty()) {
        core::result<std::string> value
            = decompressValue(record.compressedValue, source.value_size());
        // The other records of the message must not be lost with this one.
        if (value)
            record.value = std::move(value).value();
        else
            record.compressedValue.clear();
    }
    if (now != core::time_point{}) {
        constexpr auto maxAge = static_cast<std::uint64_t>(maxRecordAge.count());
        record.readAt = now - std::chrono::milliseconds(std::min(source.age_ms(), maxAge));
    }
    return record;
}

core::result<record_update> readUpdate(const fleet::RecordUpdate &message)
{
    record_update update;
    update.collection = message.collection();
    update.previous = {message.previous_era(), message.previous()};
    update.removed = message.has_removal();
    if (update.removed) {
        update.record.key = message.removal().key();
        update.record.revision = {message.removal().era(), message.removal().revision()};
        return update;
    }
    update.record = readRecord(message.record());
    // The statuses show that the change is missing, and it is fetched.
    if (update.record.compressedValue.size() != message.record().compressed_value().size())
        return parseError("value of a record update");
    return update;
}

dispatch::engine_update readEngineUpdate(const fleet::EngineNews &message)
{
    dispatch::engine_update update;
    update.address = message.address();
    update.incarnation = message.life();
    update.sequence = message.sequence();
    readLoads(message.loads(), update.loads);
    readQueues(message.queues(), update.queues);
    update.ejected.assign(message.avoided().begin(), message.avoided().end());
    return update;
}

std::uint32_t toMilliseconds(core::duration time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::vector<dispatch::request_feature> readFeatures(const fleet::CrashReport &message)
{
    std::vector<dispatch::request_feature> features;
    for (const std::uint64_t segment : message.segments())
        features.push_back({dispatch::feature_kind::Segment, segment});
    if (message.has_request())
        features.push_back({dispatch::feature_kind::Request, message.request()});
    return features;
}

dispatch::crash_signature readSignature(const fleet::CrashSignature &message)
{
    using dispatch::feature_kind;
    dispatch::crash_signature signature;
    for (const std::uint64_t segment : message.segments())
        signature = dispatch::extended(std::move(signature), {feature_kind::Segment, segment});
    if (message.has_request())
        signature
            = dispatch::extended(std::move(signature), {feature_kind::Request, message.request()});
    return signature;
}

void writeSignature(const dispatch::crash_signature &signature, fleet::CrashSignature &message)
{
    for (const dispatch::request_feature &each : signature) {
        if (each.kind == dispatch::feature_kind::Request)
            message.set_request(each.key);
        else
            message.add_segments(each.key);
    }
}

peer_quarantine_report readQuarantineReport(const fleet::SegmentReport &message)
{
    using dispatch::feature_kind;
    using std::chrono::milliseconds;
    peer_quarantine_report result{.address = message.address()};
    for (const fleet::CrashReport &entry : message.crashes())
        result.report.crashes.push_back({entry.engine(), readFeatures(entry),
                                         milliseconds(entry.age_ms()), entry.only_engine(),
                                         milliseconds(entry.ran_ms()), entry.id()});
    for (const fleet::QuarantinedSegment &entry : message.quarantined()) {
        dispatch::crash_signature signature{{feature_kind::Segment, entry.segment()}};
        for (const std::uint64_t segment : entry.companions())
            signature = dispatch::extended(std::move(signature), {feature_kind::Segment, segment});
        result.report.quarantined.push_back({std::move(signature),
                                             milliseconds(entry.remaining_ms()), entry.crashes(),
                                             entry.failed_trials()});
    }
    for (const fleet::QuarantinedRequest &entry : message.quarantined_requests())
        result.report.quarantined.push_back({{{feature_kind::Request, entry.request()}},
                                             milliseconds(entry.remaining_ms()),
                                             entry.crashes(),
                                             entry.failed_trials()});
    for (const fleet::CrashSignature &entry : message.trials())
        result.report.trials.push_back(readSignature(entry));
    for (const std::uint64_t segment : message.answered())
        result.report.answered.push_back({feature_kind::Segment, segment});
    for (const std::uint64_t request : message.answered_requests())
        result.report.answered.push_back({feature_kind::Request, request});
    return result;
}

void writeCrash(const dispatch::crash_report &crash, fleet::CrashReport &entry)
{
    entry.set_engine(crash.engine);
    for (const dispatch::request_feature &each : crash.features) {
        if (each.kind == dispatch::feature_kind::Request)
            entry.set_request(each.key);
        else
            entry.add_segments(each.key);
    }
    entry.set_age_ms(toMilliseconds(crash.age));
    entry.set_only_engine(crash.isOnlyEngine);
    entry.set_ran_ms(toMilliseconds(crash.ranFor));
    entry.set_id(crash.id);
}

template<typename Entry>
void writeQuarantined(const dispatch::quarantined_signature &quarantined, Entry &entry)
{
    entry.set_remaining_ms(toMilliseconds(quarantined.remaining));
    entry.set_crashes(static_cast<std::uint32_t>(quarantined.crashes));
    entry.set_failed_trials(static_cast<std::uint32_t>(quarantined.failedTrials));
}

} // namespace

std::string encodeStatus(const dispatch::node_status &status)
{
    fleet::PeerMessage wrapper;
    fleet::NodeStatus &message = *wrapper.mutable_status();
    message.set_address(status.address);
    message.set_life(status.incarnation);
    message.set_domain(status.domain);
    message.set_caller_port(status.callerPort);
    message.set_ready(status.ready);
    message.set_leaving(status.leaving);
    message.set_sequence(status.sequence);
    message.set_configuration_version(status.configurationVersion);
    for (const dispatch::record_revision &revision : status.revisions) {
        message.add_revisions(revision.number);
        message.add_eras(revision.era);
    }
    for (const dispatch::engine_load &load : status.loads)
        writeLoad(load, *message.add_loads());
    for (const dispatch::engine_latency &latency : status.latencies) {
        fleet::EnginePace &entry = *message.add_paces();
        entry.set_engine(latency.engine);
        entry.set_pace_seconds(static_cast<float>(latency.eventIntervalSeconds));
        entry.set_read_seconds(static_cast<float>(latency.prefillSecondsPerToken));
    }
    for (const dispatch::node_status::team_usage &use : status.teamUsage) {
        fleet::TeamUse &entry = *message.add_uses();
        entry.set_team(use.team);
        entry.set_total(use.total);
    }
    for (const dispatch::node_status::queue_length &queue : status.queues)
        writeQueue(queue, *message.add_queues());
    for (const std::uint32_t address : status.knownNodes)
        message.add_known(address);
    message.set_source(static_cast<fleet::SourceState>(status.source));
    return wrapper.SerializeAsString();
}

std::string encodeRecordUpdate(const record_update &update)
{
    fleet::PeerMessage wrapper;
    fleet::RecordUpdate &message = *wrapper.mutable_update();
    message.set_collection(static_cast<std::uint32_t>(update.collection));
    message.set_previous(update.previous.number);
    message.set_previous_era(update.previous.era);
    if (update.removed) {
        message.mutable_removal()->set_key(update.record.key);
        message.mutable_removal()->set_revision(update.record.revision.number);
        message.mutable_removal()->set_era(update.record.revision.era);
    } else {
        writeRecord(update.record, *message.mutable_record());
    }
    return wrapper.SerializeAsString();
}

std::string encodeEngineUpdate(const dispatch::engine_update &update)
{
    fleet::PeerMessage wrapper;
    fleet::EngineNews &message = *wrapper.mutable_news();
    message.set_address(update.address);
    message.set_life(update.incarnation);
    message.set_sequence(update.sequence);
    for (const dispatch::engine_load &load : update.loads)
        writeLoad(load, *message.add_loads());
    for (const dispatch::engine_key key : update.ejected)
        message.add_avoided(key);
    for (const dispatch::node_status::queue_length &queue : update.queues)
        writeQueue(queue, *message.add_queues());
    return wrapper.SerializeAsString();
}

std::string encodeQuarantineReport(const peer_quarantine_report &report)
{
    fleet::PeerMessage wrapper;
    fleet::SegmentReport &message = *wrapper.mutable_segments();
    message.set_address(report.address);
    for (const dispatch::crash_report &each : report.report.crashes)
        writeCrash(each, *message.add_crashes());
    for (const dispatch::quarantined_signature &each : report.report.quarantined) {
        const dispatch::request_feature &mostSpecific = each.signature.back();
        if (mostSpecific.kind == dispatch::feature_kind::Request) {
            fleet::QuarantinedRequest &entry = *message.add_quarantined_requests();
            entry.set_request(mostSpecific.key);
            writeQuarantined(each, entry);
            continue;
        }
        fleet::QuarantinedSegment &entry = *message.add_quarantined();
        entry.set_segment(mostSpecific.key);
        for (const dispatch::request_feature &companion :
             std::span(each.signature).first(each.signature.size() - 1))
            entry.add_companions(companion.key);
        writeQuarantined(each, entry);
    }
    for (const dispatch::crash_signature &each : report.report.trials)
        writeSignature(each, *message.add_trials());
    for (const dispatch::request_feature &each : report.report.answered) {
        if (each.kind == dispatch::feature_kind::Request)
            message.add_answered_requests(each.key);
        else
            message.add_answered(each.key);
    }
    return wrapper.SerializeAsString();
}

core::result<peer_message> decodeMessage(std::string_view bytes)
{
    fleet::PeerMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return parseError("datagram of a peer");
    if (message.has_status() && message.status().address() != 0)
        return peer_message(readStatus(message.status()));
    if (message.has_update()) {
        core::result<record_update> update = readUpdate(message.update());
        if (!update)
            return update.error();
        return peer_message(std::move(update).value());
    }
    if (message.has_news() && message.news().address() != 0)
        return peer_message(readEngineUpdate(message.news()));
    if (message.has_segments() && message.segments().address() != 0)
        return peer_message(readQuarantineReport(message.segments()));
    return parseError("datagram of a peer");
}

std::string encodeRecords(std::span<const dispatch::record_collection> collections,
                          std::span<const dispatch::record_revision> since, core::time_point now,
                          const dispatch::published_record *retained)
{
    fleet::RecordSnapshot message;
    for (std::size_t i = 0; i < collections.size(); ++i) {
        const dispatch::record_collection &collection = collections[i];
        fleet::RecordCollection &target = *message.add_collections();
        target.set_revision(collection.revision().number);
        target.set_era(collection.revision().era);
        const auto difference
            = collection.changesSince(i < since.size() ? since[i] : dispatch::record_revision());
        target.set_whole(!difference);
        if (!difference) {
            for (const auto &[key, record] : collection.records())
                writeRecord(record, *target.add_records(), now);
            continue;
        }
        for (const dispatch::published_record &record : difference->written)
            writeRecord(record, *target.add_records(), now);
        for (const auto &[key, revision] : difference->removed) {
            fleet::Removal &removal = *target.add_removals();
            removal.set_key(key);
            removal.set_revision(revision.number);
            removal.set_era(revision.era);
        }
    }
    constexpr int operators = static_cast<int>(collection_id::Operators);
    if (retained != nullptr && message.collections_size() > operators)
        writeRecord(*retained, *message.mutable_collections(operators)->add_retained(), now);
    return message.SerializeAsString();
}

core::result<std::vector<collection_snapshot>> decodeRecords(std::string_view bytes,
                                                             core::time_point now)
{
    fleet::RecordSnapshot message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return parseError("record snapshot");
    std::vector<collection_snapshot> collections;
    for (const fleet::RecordCollection &source : message.collections()) {
        collection_snapshot &target = collections.emplace_back();
        target.revision = {source.era(), source.revision()};
        target.complete = source.whole();
        for (const fleet::Record &entry : source.records())
            target.records.push_back(readRecord(entry, now));
        for (const fleet::Record &entry : source.retained())
            target.retained.push_back(readRecord(entry, now));
        for (const fleet::Removal &entry : source.removals())
            target.removed[entry.key()] = {entry.era(), entry.revision()};
    }
    return collections;
}

} // namespace comfreypass::gateway
