#include "node/leaserowprobe.h"

namespace fescuecleat {

namespace {

    /** A third of the time in which starts are to go on after an outage. */
    constexpr Duration readInterval = std::chrono::milliseconds(150);
    /** A slow store answers reads in 240 ms. */
    constexpr Duration readTimeout = std::chrono::milliseconds(400);

}

LeaseRowProbe::LeaseRowProbe(boost::asio::io_context& context, RowStore& store, RowRange range, AnswerHandler answered)
    : store_(store)
    , range_(std::move(range))
    , answered_(std::move(answered))
    , timer_(context)
{
}

void LeaseRowProbe::start()
{
    isRunning_ = true;
    read();
}

void LeaseRowProbe::stop()
{
    isRunning_ = false;
    timer_.cancel();
}

void LeaseRowProbe::read()
{
    timer_.start(readInterval, [this] { read(); });
    store_.read(range_, readTimeout, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (page && isRunning_)
            answered_(*page);
    }));
}

}
