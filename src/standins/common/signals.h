#pragma once

#include "standins/common/eventloop.h"

namespace fescuecleat::standins {

/** Makes SIGTERM and SIGINT stop the loop; ignores SIGPIPE, which a write to a closed connection raises. */
void stopOnSignals(EventLoop&);

}
