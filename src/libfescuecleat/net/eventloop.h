#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace fescuecleat {

/**
 * Runs the loop until it is stopped or has nothing left to do. If an exception leaves a
 * handler, `failed` is told its cause and the loop goes on.
 */
void runEventLoop(boost::asio::io_context&, const std::function<void(const std::string& cause)>& failed);

}
