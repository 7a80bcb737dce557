#pragma once

#include "worker/workerclient.h"

namespace fescuecleat {

class HttpClient;
struct HttpResponse;

/** WorkerClient over HTTP. All commands are idempotent, so connections can be reused. */
class HttpWorkerClient : public WorkerClient {
public:
    /** `client` must outlive this object. */
    explicit HttpWorkerClient(HttpClient& client)
        : client_(client)
    {
    }

    Result<WorkerReport> renew(const Address&, std::uint64_t epoch, std::int64_t untilMicros, const std::vector<TaskKey>& forget, Time deadline) override;
    WorkerAnswer prepare(const Address&, std::uint64_t epoch, const PreparedTask&, Time deadline) override;
    WorkerAnswer start(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t startBeforeMicros, Time deadline) override;
    WorkerAnswer checkpoint(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t deadlineMicros, Time deadline) override;
    WorkerAnswer stop(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) override;
    WorkerAnswer throttle(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) override;

private:
    WorkerAnswer command(const Address&, const std::string& path, const JsonValue& body, Time deadline);

    HttpClient& client_;
};

}
