#include "membership/membershipcore.h"
#include "membership/peercodec.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int dataCentreCount = 6;
/** ZeroMQ frame header, and TCP and IP headers of the packets of a small message and its acknowledgement. */
constexpr std::size_t framingBytesPerMessage = 2 + 2 * 52;

struct Traffic {
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t interDataCentreBytes_ = 0;
};

/** Runs cores in virtual time over a network without faults and measures their processor time and traffic. */
class Deployment {
public:
    Deployment(int instancesPerDataCentre, Topology topology)
    {
        for (int index = 0; index < instancesPerDataCentre * dataCentreCount; ++index) {
            MemberRecord record;
            record.id_ = InstanceId("entry-" + std::to_string(1000 + index));
            record.dataCentre_ = DataCentreId("data-centre-" + std::to_string(index % dataCentreCount));
            record.peerAddress_ = { "10.20.30.40", static_cast<unsigned short>(index + 1) };
            record.incarnation_ = 1796338012182;
            record.state_.configurationVersion_ = 1000;
            record.state_.participantsDigest_ = 0x1234567890abcdefU;
            cores_.emplace(record.id_, MembershipCore({ record, topology }));
            dataCentreOf_[record.id_] = record.dataCentre_;
            ListedInstance entry;
            entry.id_ = record.id_.value();
            entry.dataCentre_ = record.dataCentre_;
            entry.peerAddress_ = record.peerAddress_;
            listed_.push_back(entry);
        }
        for (auto& [id, core] : cores_)
            apply(id, core, InstancesListed { listed_ });
    }

    void run(std::chrono::seconds duration)
    {
        const Time end = now_ + duration;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(20);
            std::vector<std::pair<InstanceId, PeerMessage>> due;
            due.swap(inFlight_);
            for (const auto& [to, message] : due)
                apply(to, cores_.at(to), PeerMessageReceived { message });
            for (auto& [id, core] : cores_) {
                if (now_ >= core.nextTick())
                    apply(id, core, MembershipTick {});
            }
        }
    }

    void resetCounters()
    {
        traffic_.clear();
        processorTime_ = {};
    }

    std::map<InstanceId, Traffic> traffic_;
    std::chrono::duration<double> processorTime_ {};
    std::map<InstanceId, MembershipCore> cores_;

private:
    void apply(const InstanceId& id, MembershipCore& core, const MembershipEvent& event)
    {
        const auto begin = std::chrono::steady_clock::now();
        const std::vector<MembershipAction> actions = core.apply(event, now_);
        processorTime_ += std::chrono::steady_clock::now() - begin;
        for (const MembershipAction& action : actions) {
            const auto* send = std::get_if<SendToPeer>(&action);
            if (send == nullptr)
                continue;
            const PeerMessage message { id, send->content_ };
            const std::size_t bytes = encodePeerMessage(message).size() + framingBytesPerMessage;
            traffic_[id].sentBytes_ += bytes;
            traffic_[send->to_].receivedBytes_ += bytes;
            if (dataCentreOf_[id] != dataCentreOf_[send->to_])
                traffic_[id].interDataCentreBytes_ += bytes;
            inFlight_.emplace_back(send->to_, message);
        }
    }

    Time now_ = Time(std::chrono::hours(1));
    std::map<InstanceId, DataCentreId> dataCentreOf_;
    std::vector<ListedInstance> listed_;
    std::vector<std::pair<InstanceId, PeerMessage>> inFlight_;
};

void measure(int instancesPerDataCentre, Topology topology)
{
    constexpr std::chrono::seconds warmUpTime(30);
    constexpr std::chrono::seconds measurementTime(60);
    Deployment deployment(instancesPerDataCentre, topology);
    deployment.run(warmUpTime);
    deployment.resetCounters();
    deployment.run(measurementTime);
    double totalSent = 0;
    double maxSent = 0;
    double interDataCentre = 0;
    for (const auto& [id, traffic] : deployment.traffic_) {
        const double sent = static_cast<double>(traffic.sentBytes_) / static_cast<double>(measurementTime.count());
        totalSent += sent;
        maxSent = std::max(maxSent, sent);
        interDataCentre += static_cast<double>(traffic.interDataCentreBytes_) / static_cast<double>(measurementTime.count());
    }
    const auto instanceCount = static_cast<double>(deployment.cores_.size());
    const double processorShare = deployment.processorTime_.count() / static_cast<double>(measurementTime.count()) / instanceCount;
    std::printf("%2d instances in each of %d data centres, %-12s sent per instance: mean %7.0f B/s, max %7.0f B/s; between data centres in total %8.0f B/s; processor time of a core %.4f%%\n",
        instancesPerDataCentre, dataCentreCount, topology == Topology::Flat ? "flat" : "hierarchical", totalSent / instanceCount, maxSent, interDataCentre, processorShare * 100);
}

}

/** Measures the traffic of membership by size of the deployment. */
int main()
{
    for (const int instancesPerDataCentre : { 2, 3, 5, 9 }) {
        measure(instancesPerDataCentre, Topology::Hierarchical);
        measure(instancesPerDataCentre, Topology::Flat);
    }
    return 0;
}
