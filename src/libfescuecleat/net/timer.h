#pragma once

#include "base/bootclock.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fescuecleat {

/** Runs a callback once after a delay, which includes time of suspension. Destroying the timer cancels it. */
class Timer {
public:
    explicit Timer(boost::asio::io_context& context)
        : timer_(context)
    {
    }

    /** Replaces a pending callback. */
    void start(Duration after, std::function<void()> callback)
    {
        timer_.expires_after(after);
        timer_.async_wait([callback = std::move(callback), alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
            if (!error && alive.lock())
                callback();
        });
    }
    void cancel() { timer_.cancel(); }

private:
    boost::asio::basic_waitable_timer<BootClock> timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
