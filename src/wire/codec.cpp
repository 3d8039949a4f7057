#include "wire/codec.h"

#include "peer.pb.h"
#include "wire/field_check.h"
#include "wire/idempotency_codec.h"
#include "wire/limits.h"
#include "wire/membership_codec.h"
#include "wire/scheduling_codec.h"

#include <google/protobuf/stubs/logging.h>

#include <optional>
#include <utility>
#include <variant>

namespace comfreypass::wire {

namespace {

/** Protobuf would log a line for each malformed string; decode() returns an error instead. */
void silenceProtobufLog()
{
    [[maybe_unused]] static google::protobuf::LogHandler *const previous
        = google::protobuf::SetLogHandler(nullptr);
}

core::error refusal(core::errc code, std::string_view field, std::string_view problem)
{
    return {code, std::string{field}, std::string{problem}, {}};
}

std::optional<peer_message> readBody(const pb::envelope &in, field_check &check,
                                     core::time_point now)
{
    switch (in.body_case()) {
    case pb::envelope::kPing:
        return read(in.ping(), check, now);
    case pb::envelope::kAck:
        return read(in.ack(), check, now);
    case pb::envelope::kViewSync:
        return read(in.view_sync(), check, now);
    case pb::envelope::kSheetRequest:
        return read(in.sheet_request(), check, now);
    case pb::envelope::kSheetPatch:
        return read(in.sheet_patch(), check, now);
    case pb::envelope::kSheetChunk:
        return read(in.sheet_chunk(), check, now);
    case pb::envelope::kPoll:
        return read(in.poll(), check, now);
    case pb::envelope::kVote:
        return read(in.vote(), check, now);
    case pb::envelope::kStepDown:
        return read(in.step_down(), check, now);
    case pb::envelope::kPermitRequest:
        return read(in.permit_request(), check, now);
    case pb::envelope::kGrant:
        return read(in.grant(), check, now);
    case pb::envelope::kRefusal:
        return read(in.refusal(), check, now);
    case pb::envelope::kRelease:
        return read(in.release(), check, now);
    case pb::envelope::kPreempt:
        return read(in.preempt(), check, now);
    case pb::envelope::kClaim:
        return read(in.claim(), check, now);
    case pb::envelope::kClaimReply:
        return read(in.claim_reply(), check, now);
    case pb::envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const core::node_identity &sender, const peer_message &message,
                   core::time_point now)
{
    pb::envelope envelope;
    envelope.set_version(protocolVersion);
    envelope.set_sender(sender.name.text());
    envelope.set_sender_incarnation(sender.incarnation);
    std::visit([&](const auto &body) { write(body, envelope, now); }, message);
    return envelope.SerializeAsString();
}

core::result<received_message> decode(std::span<const std::byte> bytes, core::time_point now)
{
    using core::errc;
    silenceProtobufLog();
    pb::envelope envelope;
    if (bytes.size() > maxMessageBytes)
        return refusal(errc::InvalidArgument, "envelope", "is too long");
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refusal(errc::ParseFailed, "envelope", "is no protobuf message");
    if (envelope.version() != protocolVersion)
        return refusal(errc::Refused, "version", "is unknown");

    field_check check;
    received_message message;
    message.sender.name = check.name<core::node_name>(envelope.sender(), "sender");
    message.sender.incarnation = envelope.sender_incarnation();
    std::optional<peer_message> body = readBody(envelope, check, now);
    if (!body.has_value())
        return refusal(errc::InvalidArgument, "body", "is missing or unknown");
    if (check.firstError().has_value())
        return *check.firstError();
    message.body = std::move(*body);
    return message;
}

} // namespace comfreypass::wire
