#pragma once

#include "standins/common/eventloop.h"

namespace fescuecleat::standins {

/** Makes SIGTERM and SIGINT stop the loop, and keeps a closed peer from ending the process. */
void stopOnSignals(EventLoop&);

}
