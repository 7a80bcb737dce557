#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Stores job records in group commits, one at a time. Each commit expects the
 * one before it, so a commit whose answer was lost is found out or shut out,
 * and a former holder's can't land any more.
 */
class JobRecorder {
public:
    struct Listener {
        /** The value of a job's row, as it is now. */
        std::function<std::string(const std::string& job)> encode_;
        /** The chain belongs to a newer holder. */
        std::function<void(const std::string& cause)> superseded_;
    };

    JobRecorder(boost::asio::io_context&, RowStore&, JsonEventLog&, std::int64_t epoch, std::uint64_t chainVersion, Listener);

    /** The job's record has changed. */
    void markChanged(const std::string& job) { changed_.insert(job); }
    /** The job has changed since its newest record was composed. */
    bool hasPendingChange(const std::string& job) const { return changed_.count(job) > 0; }
    /** A row beside the records, written with the next commit. */
    void writeBeside(RowUpsert write);
    /** Calls back when everything that has changed so far is stored. */
    void whenStored(std::function<void()>);
    /** Begins a commit unless one is on its way. */
    void flush();

    static constexpr const char* table = "records";

private:
    void send();
    void committed(std::uint64_t version);

    RowStore& store_;
    JsonEventLog& log_;
    std::int64_t epoch_;
    std::uint64_t chainVersion_;
    Listener listener_;
    Timer retry_;
    Lifetime lifetime_;

    std::set<std::string> changed_;
    std::vector<RowUpsert> beside_;
    std::vector<std::function<void()>> waiting_;
    std::vector<std::function<void()>> committing_;
    RowTransaction transaction_;
    bool isCommitting_ = false;
    std::uint64_t sequence_ = 0;
};

}
