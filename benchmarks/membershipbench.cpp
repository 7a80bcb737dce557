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

constexpr int dataCentres = 6;
/** ZeroMQ's frame header and the shares of TCP and IP headers of a small message and its acknowledgement. */
constexpr std::size_t framingBytes = 2 + 2 * 52;

struct Traffic {
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t betweenDataCentres_ = 0;
};

/** Cores in virtual time over a network without faults; a core's processor time is measured. */
class Deployment {
public:
    Deployment(int perDataCentre, Arrangement arrangement)
    {
        for (int index = 0; index < perDataCentre * dataCentres; ++index) {
            MemberRecord record;
            record.id_ = InstanceId("entry-" + std::to_string(1000 + index));
            record.dataCentre_ = DataCentreId("data-centre-" + std::to_string(index % dataCentres));
            record.peerAddress_ = { "10.20.30.40", static_cast<unsigned short>(index + 1) };
            record.incarnation_ = 1796338012182;
            record.state_.configurationVersion_ = 1000;
            record.state_.shareView_ = 0x1234567890abcdefU;
            cores_.emplace(record.id_, MembershipCore({ record, arrangement }));
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
            due.swap(travelling_);
            for (const auto& [to, message] : due)
                apply(to, cores_.at(to), PeerMessageReceived { message });
            for (auto& [id, core] : cores_) {
                if (now_ >= core.nextTick())
                    apply(id, core, MembershipTick {});
            }
        }
    }

    void forgetTraffic()
    {
        traffic_.clear();
        spent_ = {};
    }

    std::map<InstanceId, Traffic> traffic_;
    std::chrono::duration<double> spent_ {};
    std::map<InstanceId, MembershipCore> cores_;

private:
    void apply(const InstanceId& id, MembershipCore& core, const MembershipEvent& event)
    {
        const auto begin = std::chrono::steady_clock::now();
        const std::vector<MembershipAction> actions = core.apply(event, now_);
        spent_ += std::chrono::steady_clock::now() - begin;
        for (const MembershipAction& action : actions) {
            const auto* send = std::get_if<SendToPeer>(&action);
            if (send == nullptr)
                continue;
            const PeerMessage message { id, send->content_ };
            const std::size_t bytes = encodePeerMessage(message).size() + framingBytes;
            traffic_[id].sent_ += bytes;
            traffic_[send->to_].received_ += bytes;
            if (dataCentreOf_[id] != dataCentreOf_[send->to_])
                traffic_[id].betweenDataCentres_ += bytes;
            travelling_.emplace_back(send->to_, message);
        }
    }

    Time now_ = Time(std::chrono::hours(1));
    std::map<InstanceId, DataCentreId> dataCentreOf_;
    std::vector<ListedInstance> listed_;
    std::vector<std::pair<InstanceId, PeerMessage>> travelling_;
};

void measure(int perDataCentre, Arrangement arrangement)
{
    constexpr std::chrono::seconds warmUp(30);
    constexpr std::chrono::seconds measured(60);
    Deployment deployment(perDataCentre, arrangement);
    deployment.run(warmUp);
    deployment.forgetTraffic();
    deployment.run(measured);
    double sum = 0;
    double most = 0;
    double between = 0;
    for (const auto& [id, traffic] : deployment.traffic_) {
        const double sent = static_cast<double>(traffic.sent_) / static_cast<double>(measured.count());
        sum += sent;
        most = std::max(most, sent);
        between += static_cast<double>(traffic.betweenDataCentres_) / static_cast<double>(measured.count());
    }
    const auto nodes = static_cast<double>(deployment.cores_.size());
    const double share = deployment.spent_.count() / static_cast<double>(measured.count()) / nodes;
    std::printf("%2d instances in each of %d data centres, %-12s sent per node: mean %7.0f B/s, most %7.0f B/s; between data centres in all %8.0f B/s; core %.4f%%\n",
        perDataCentre, dataCentres, arrangement == Arrangement::Flat ? "flat" : "hierarchical", sum / nodes, most, between, share * 100);
}

}

/** Bytes that membership costs against the size of the deployment. */
int main()
{
    for (const int perDataCentre : { 2, 3, 5, 9 }) {
        measure(perDataCentre, Arrangement::Hierarchical);
        measure(perDataCentre, Arrangement::Flat);
    }
    return 0;
}
