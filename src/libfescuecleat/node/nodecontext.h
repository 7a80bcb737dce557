#pragma once

#include "node/formats.h"
#include "node/instancesettings.h"
#include "node/jsoneventlog.h"
#include "node/poolworkerclient.h"
#include "node/rowstore.h"
#include "node/storeclock.h"

#include <boost/asio/io_context.hpp>

namespace fescuecleat {

/** The services shared by the components of an instance. */
struct NodeContext {
    boost::asio::io_context& loop_;
    const InstanceSettings& settings_;
    JsonEventLog& log_;
    RowStore& store_;
    PoolWorkerClient& workers_;
    const OperatorFormat& operatorFormat_;
    const RegistryFormat& registryFormat_;
    const CallerFormat& callerFormat_;
    StoreClock& clock_;
};

}
