#pragma once

#include "node/instancesettings.h"
#include "node/jsoneventlog.h"
#include "node/startpermission.h"
#include "pool/startrevocation.h"
#include "pool/taskid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fescuecleat {

/** Withholds starts while a view is too old; counts and logs what is withheld or given up. */
class StartGate {
public:
    StartGate(JsonEventLog&, const InstanceSettings&);

    /** Whether starts may be sent on these views; logs when that changes, and when the cause does. */
    bool isOpen(const ViewTimes&, Time now);
    /** Counts starts that were withheld because of the view that isOpen() found last. */
    void countWithheld(std::size_t starts);
    /** Counts and logs a start that was given up. */
    void noteRevoked(const RunId&, StartRevocation);

    /** Requests for starts that were not sent, by cause. */
    const std::map<std::string, std::uint64_t>& withheldByCause() const { return withheldByCause_; }

private:
    JsonEventLog& log_;
    ViewLimits limits_;
    std::optional<View> outdated_;
    Time closedAt_ {};
    std::map<std::string, std::uint64_t> withheldByCause_;
};

}
