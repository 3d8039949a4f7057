#include "wire/membership_codec.h"

#include "sheet/sheet.h"
#include "wire/limits.h"
#include "wire/milliseconds.h"

namespace comfreypass::wire {

namespace {

using member_list = google::protobuf::RepeatedPtrField<pb::member_update>;

void writeKey(const sheet::sheet_key &key, pb::sheet_key &out)
{
    out.set_revision(key.revision);
    out.set_service_index(key.serviceIndex);
    out.set_digest(key.digest);
}

sheet::sheet_key readKey(const pb::sheet_key &in)
{
    return {in.revision(), in.service_index(), in.digest()};
}

void writeMembers(const std::vector<membership::member> &members, member_list &out)
{
    out.Reserve(static_cast<int>(members.size()));
    for (const membership::member &member : members) {
        pb::member_update &update = *out.Add();
        update.set_name(member.identity.name.text());
        update.set_incarnation(member.identity.incarnation);
        update.set_state(static_cast<std::uint32_t>(member.state));
        update.set_state_version(member.stateVersion);
        update.set_peer_address(member.peerAddress);
        update.set_caller_address(member.callerAddress);
        update.set_failure_domain(member.domain.text());
        update.set_witness_epoch(member.witnessEpoch);
    }
}

membership::member readMember(const pb::member_update &in, field_check &check)
{
    membership::member member;
    member.identity.name = check.name<core::node_name>(in.name(), "member.name");
    member.identity.incarnation = in.incarnation();
    member.state = check.enumeration(in.state(), membership::member_state::Leaving, "member.state");
    member.stateVersion = in.state_version();
    member.peerAddress = check.address(in.peer_address(), "member.peer_address");
    member.callerAddress = check.address(in.caller_address(), "member.caller_address");
    member.domain
        = check.optionalName<core::domain_name>(in.failure_domain(), "member.failure_domain");
    member.witnessEpoch = in.witness_epoch();
    return member;
}

std::vector<membership::member> readMembers(const member_list &in, field_check &check)
{
    std::vector<membership::member> members;
    if (!check.size(static_cast<std::size_t>(in.size()), maxMembersPerMessage, "members"))
        return members;
    members.reserve(static_cast<std::size_t>(in.size()));
    for (const pb::member_update &update : in)
        members.push_back(readMember(update, check));
    return members;
}

} // namespace

void write(const membership::ping &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::ping &body = *out.mutable_ping();
    body.set_sequence(message.sequence);
    body.set_view_digest(message.viewDigest);
    writeKey(message.sheet, *body.mutable_sheet());
    writeMembers(message.updates, *body.mutable_updates());
}

void write(const membership::ack &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::ack &body = *out.mutable_ack();
    body.set_sequence(message.sequence);
    body.set_view_digest(message.viewDigest);
    writeKey(message.sheet, *body.mutable_sheet());
    writeMembers(message.updates, *body.mutable_updates());
    // Rounded up: the receiver must not treat a confirmation as more recent than it is.
    if (message.confirmationAge.has_value())
        body.set_confirmation_age_ms(ceilMs(*message.confirmationAge));
}

void write(const membership::view_sync &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::view_sync &body = *out.mutable_view_sync();
    body.set_answer_wanted(message.replyRequested);
    writeMembers(message.members, *body.mutable_members());
}

void write(const membership::sheet_request &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::sheet_request &body = *out.mutable_sheet_request();
    writeKey(message.have, *body.mutable_have());
    writeKey(message.want, *body.mutable_want());
    body.set_offset(message.offset);
    body.set_whole(message.whole);
}

void write(const membership::sheet_patch &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::sheet_patch &body = *out.mutable_sheet_patch();
    writeKey(message.base, *body.mutable_base());
    writeKey(message.target, *body.mutable_target());
    body.set_merge_patch(message.mergePatch);
}

void write(const membership::sheet_chunk &message, pb::envelope &out, core::time_point /*now*/)
{
    pb::sheet_chunk &body = *out.mutable_sheet_chunk();
    writeKey(message.target, *body.mutable_target());
    body.set_offset(message.offset);
    body.set_total_bytes(message.totalBytes);
    body.set_bytes(message.bytes);
}

membership::ping read(const pb::ping &in, field_check &check, core::time_point /*now*/)
{
    membership::ping message;
    message.sequence = in.sequence();
    message.viewDigest = in.view_digest();
    message.sheet = readKey(in.sheet());
    message.updates = readMembers(in.updates(), check);
    return message;
}

membership::ack read(const pb::ack &in, field_check &check, core::time_point /*now*/)
{
    membership::ack message;
    message.sequence = in.sequence();
    message.viewDigest = in.view_digest();
    message.sheet = readKey(in.sheet());
    message.updates = readMembers(in.updates(), check);
    if (in.has_confirmation_age_ms())
        message.confirmationAge = fromMs(in.confirmation_age_ms());
    return message;
}

membership::view_sync read(const pb::view_sync &in, field_check &check, core::time_point /*now*/)
{
    membership::view_sync message;
    message.replyRequested = in.answer_wanted();
    message.members = readMembers(in.members(), check);
    return message;
}

membership::sheet_request read(const pb::sheet_request &in, field_check &check,
                               core::time_point /*now*/)
{
    membership::sheet_request message;
    message.have = readKey(in.have());
    message.want = readKey(in.want());
    message.offset = in.offset();
    message.whole = in.whole();
    check.size(in.offset(), sheet::maxSheetBytes, "offset");
    return message;
}

membership::sheet_patch read(const pb::sheet_patch &in, field_check &check,
                             core::time_point /*now*/)
{
    membership::sheet_patch message;
    message.base = readKey(in.base());
    message.target = readKey(in.target());
    if (check.size(in.merge_patch().size(), maxPatchBytes, "merge_patch"))
        message.mergePatch = in.merge_patch();
    return message;
}

membership::sheet_chunk read(const pb::sheet_chunk &in, field_check &check,
                             core::time_point /*now*/)
{
    membership::sheet_chunk message;
    message.target = readKey(in.target());
    message.offset = in.offset();
    message.totalBytes = in.total_bytes();
    check.size(in.total_bytes(), sheet::maxSheetBytes, "total_bytes");
    if (check.size(in.bytes().size(), maxChunkBytes, "bytes"))
        message.bytes = in.bytes();
    const std::uint64_t end = std::uint64_t{in.offset()} + in.bytes().size();
    check.require(end <= in.total_bytes(), "offset", "is outside the document");
    return message;
}

} // namespace comfreypass::wire
