#include "membership/peercodec.h"

#include "base/overloaded.h"
#include "membership/peer.pb.h"

namespace fescuecleat {

namespace {

    std::uint32_t toMilliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    Address toAddress(const std::string& ip, std::uint32_t port)
    {
        return { ip, static_cast<unsigned short>(port) };
    }

    void write(const MemberRecord& record, wire::Member& member)
    {
        member.set_id(record.id_.value());
        member.set_data_centre(record.dataCentre_.value());
        member.set_peer_ip(record.peerAddress_.ip_);
        member.set_peer_port(record.peerAddress_.port_);
        member.set_incarnation(record.incarnation_);
        member.set_beat(record.sequence_);
        member.set_is_leaving(record.isLeaving_);
        member.set_configuration_version(record.state_.configurationVersion_);
        member.set_data_centre_version(record.state_.dataCentreVersion_);
        member.set_lease_epoch(record.state_.leaseEpoch_);
        member.set_lease_holder_ip(record.state_.leaseHolder_.ip_);
        member.set_lease_holder_port(record.state_.leaseHolder_.port_);
        for (const MinionId& minion : record.state_.leavingMinions_)
            member.add_leaving_minions(minion.value());
        member.set_share_view(record.state_.participantsDigest_);
    }

    MemberRecord read(const wire::Member& member)
    {
        MemberRecord record;
        record.id_ = InstanceId(member.id());
        record.dataCentre_ = DataCentreId(member.data_centre());
        record.peerAddress_ = toAddress(member.peer_ip(), member.peer_port());
        record.incarnation_ = member.incarnation();
        record.sequence_ = member.beat();
        record.isLeaving_ = member.is_leaving();
        record.state_.configurationVersion_ = member.configuration_version();
        record.state_.dataCentreVersion_ = member.data_centre_version();
        record.state_.leaseEpoch_ = member.lease_epoch();
        record.state_.leaseHolder_ = toAddress(member.lease_holder_ip(), member.lease_holder_port());
        for (const std::string& minion : member.leaving_minions())
            record.state_.leavingMinions_.insert(MinionId(minion));
        record.state_.participantsDigest_ = member.share_view();
        return record;
    }

    void write(const Heartbeat& heartbeat, wire::Heartbeat& message)
    {
        write(heartbeat.member_, *message.mutable_member());
        for (const ReceivedHeartbeat& heard : heartbeat.received_) {
            wire::Heard& entry = *message.add_heard();
            entry.set_id(heard.id_.value());
            entry.set_incarnation(heard.incarnation_);
            entry.set_beat(heard.sequence_);
        }
        for (const SummaryHead& head : heartbeat.heads_) {
            wire::SummaryHead& entry = *message.add_heads();
            entry.set_data_centre(head.dataCentre_.value());
            entry.set_digest(head.digest_);
            entry.set_age_ms(toMilliseconds(head.age_));
        }
    }

    Heartbeat read(const wire::Heartbeat& message)
    {
        Heartbeat heartbeat;
        heartbeat.member_ = read(message.member());
        for (const wire::Heard& heard : message.heard())
            heartbeat.received_.push_back({ InstanceId(heard.id()), heard.incarnation(), heard.beat() });
        for (const wire::SummaryHead& head : message.heads())
            heartbeat.heads_.push_back({ DataCentreId(head.data_centre()), head.digest(), std::chrono::milliseconds(head.age_ms()) });
        return heartbeat;
    }

    DataCentreSummary read(const wire::Summary& message)
    {
        DataCentreSummary summary;
        summary.dataCentre_ = DataCentreId(message.data_centre());
        summary.age_ = std::chrono::milliseconds(message.age_ms());
        for (const wire::Member& member : message.members())
            summary.members_.push_back(read(member));
        return summary;
    }

    template <typename Entries>
    std::vector<SlotCount> readSlotCounts(const Entries& entries)
    {
        std::vector<SlotCount> counts;
        for (const wire::SlotCount& entry : entries)
            counts.push_back({ MinionId(entry.minion()), static_cast<int>(entry.slots()) });
        return counts;
    }

    void write(const SlotCount& count, wire::SlotCount& entry)
    {
        entry.set_minion(count.minion_.value());
        entry.set_slots(static_cast<std::uint32_t>(count.slots_));
    }

    void write(const DataCentreSummary& summary, wire::Summary& message)
    {
        message.set_data_centre(summary.dataCentre_.value());
        message.set_age_ms(toMilliseconds(summary.age_));
        for (const MemberRecord& member : summary.members_)
            write(member, *message.add_members());
    }

    void write(const LoanRequest& request, wire::LoanRequest& message)
    {
        message.set_number(request.number_);
        message.set_time_ms(toMilliseconds(request.duration_));
        for (const SlotCount& count : request.wanted_)
            write(count, *message.add_wanted());
    }

    void write(const LoanGrant& grant, wire::LoanGrant& message)
    {
        message.set_number(grant.number_);
        for (const SlotCount& count : grant.granted_)
            write(count, *message.add_granted());
    }

}

std::string encodePeerMessage(const PeerMessage& message)
{
    wire::PeerMessage wireMessage;
    wireMessage.set_sender(message.sender_.value());
    std::visit(Overloaded {
                   [&](const Heartbeat& heartbeat) { write(heartbeat, *wireMessage.mutable_heartbeat()); },
                   [&](const DataCentreSummary& summary) { write(summary, *wireMessage.mutable_summary()); },
                   [&](const SummaryPull& pull) { wireMessage.mutable_pull()->set_data_centre(pull.dataCentre_.value()); },
                   [&](const LoanRequest& request) { write(request, *wireMessage.mutable_loan_request()); },
                   [&](const LoanGrant& grant) { write(grant, *wireMessage.mutable_loan_grant()); } },
        message.content_);
    return wireMessage.SerializeAsString();
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    wire::PeerMessage wireMessage;
    if (!wireMessage.ParseFromString(bytes) || wireMessage.sender().empty())
        return failure(ErrorKind::InvalidSyntax, "the peer message can't be decoded", "run the same version on all instances");
    PeerMessage message;
    message.sender_ = InstanceId(wireMessage.sender());
    switch (wireMessage.content_case()) {
    case wire::PeerMessage::kHeartbeat:
        message.content_ = read(wireMessage.heartbeat());
        return message;
    case wire::PeerMessage::kSummary:
        message.content_ = read(wireMessage.summary());
        return message;
    case wire::PeerMessage::kPull:
        message.content_ = SummaryPull { DataCentreId(wireMessage.pull().data_centre()) };
        return message;
    case wire::PeerMessage::kLoanRequest: {
        const wire::LoanRequest& request = wireMessage.loan_request();
        message.content_ = LoanRequest { request.number(), std::chrono::milliseconds(request.time_ms()), readSlotCounts(request.wanted()) };
        return message;
    }
    case wire::PeerMessage::kLoanGrant:
        message.content_ = LoanGrant { wireMessage.loan_grant().number(), readSlotCounts(wireMessage.loan_grant().granted()) };
        return message;
    case wire::PeerMessage::CONTENT_NOT_SET:
        break;
    }
    return failure(ErrorKind::InvalidSyntax, "the peer message has no content", "run the same version on all instances");
}

}
