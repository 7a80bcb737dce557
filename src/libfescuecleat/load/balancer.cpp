#include "load/balancer.h"

namespace fescuecleat {

namespace {

    constexpr Duration probeTime = std::chrono::milliseconds(300);
    constexpr int statusOk = 200;

}

Balancer::Balancer(const Testbed& testbed, HttpClient& client)
    : client_(client)
{
    // Neighbours in the rotation are of different data centres.
    for (std::size_t row = 0; true; ++row) {
        const std::size_t before = members_.size();
        for (const TestbedDataCentre& dataCentre : testbed.dataCentres_) {
            if (row < dataCentre.entries_.size())
                members_.emplace_back(dataCentre.entries_[row]);
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
        const auto response = client_.send(member.entry_.operator_, request, monotonicNow() + probeTime, false);
        member.isReady_ = response && response->status_ == statusOk;
    }
}

std::optional<TestbedEntry> Balancer::next(const std::string& avoided)
{
    for (std::size_t tries = 0; tries < members_.size(); ++tries) {
        const Member& member = members_[turn_++ % members_.size()];
        if (member.isReady_ && member.entry_.instance_ != avoided)
            return member.entry_;
    }
    return std::nullopt;
}

}
