#include "net/eventloop.h"

#include <exception>

namespace fescuecleat {

void runEventLoop(boost::asio::io_context& loop, const std::function<void(const std::string& cause)>& failed)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception& error) {
            failed(error.what());
        }
    }
}

}
