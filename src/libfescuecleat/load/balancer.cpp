#include "load/balancer.h"

namespace fescuecleat {

namespace {

    constexpr Duration probeTimeout = std::chrono::milliseconds(300);
    constexpr int statusOk = 200;

}

Balancer::Balancer(const Testbed& testbed, HttpClient& client)
    : client_(client)
{
    // Interleaves the data centres, so that consecutive requests go to different ones.
    for (std::size_t index = 0; true; ++index) {
        const std::size_t before = members_.size();
        for (const TestbedDataCentre& dataCentre : testbed.dataCentres_) {
            if (index < dataCentre.entries_.size())
                members_.emplace_back(dataCentre.entries_[index]);
        }
        if (members_.size() == before)
            return;
    }
}

void Balancer::probe()
{
    HttpRequest request;
    request.path_ = "/ready";
    for (Member& member : members_) {
        const auto response = client_.send(member.entry_.operatorAddress_, request, monotonicNow() + probeTimeout, false);
        member.isReady_ = response && response->status_ == statusOk;
    }
}

std::optional<TestbedEntry> Balancer::next(const std::string& excludedInstance)
{
    for (std::size_t attempt = 0; attempt < members_.size(); ++attempt) {
        const Member& member = members_[nextMember_++ % members_.size()];
        if (member.isReady_ && member.entry_.instance_ != excludedInstance)
            return member.entry_;
    }
    return std::nullopt;
}

}
