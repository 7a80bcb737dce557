#pragma once

#include "net/timer.h"
#include "node/lifetime.h"
#include "node/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace fescuecleat {

/**
 * Reads a row at short intervals while the store doesn't answer, so that the end of an outage is
 * noticed at once: a call that was sent during the outage may never be answered.
 */
class LeaseRowProbe {
public:
    using AnswerHandler = std::function<void(const RowPage&)>;

    LeaseRowProbe(boost::asio::io_context&, RowStore&, RowRange, AnswerHandler);

    void start();
    void stop();

private:
    void read();

    RowStore& store_;
    RowRange range_;
    AnswerHandler answered_;
    Timer timer_;
    Lifetime lifetime_;
    bool isRunning_ = false;
};

}
