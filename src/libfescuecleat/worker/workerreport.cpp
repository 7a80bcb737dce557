#include "worker/workerreport.h"

#include "json/objectreader.h"

#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxMemoryBytes = std::int64_t { 1 } << 50U;
    constexpr std::int64_t maxProcessorMillis = 100'000'000;
    constexpr int maxAccelerators = 1024;
    constexpr int maxAttempts = 1'000'000;
    constexpr std::size_t maxReasonBytes = 4096;
    constexpr std::int64_t maxClockMicros = std::numeric_limits<std::int64_t>::max() / 4;

    constexpr std::array<TaskState, 6> taskStates { TaskState::Prepared, TaskState::Running, TaskState::Checkpointed, TaskState::Finished, TaskState::Failed, TaskState::Stopped };

    std::optional<TaskState> taskStateNamed(const std::string& name)
    {
        for (const TaskState state : taskStates) {
            if (name == taskStateName(state))
                return state;
        }
        return std::nullopt;
    }

    std::vector<int> parseAccelerators(ObjectReader& reader, std::vector<Error>& errors)
    {
        std::vector<int> accelerators;
        const JsonValue* list = reader.array("accelerators", false);
        if (!list)
            return accelerators;
        for (const JsonValue& member : *list) {
            int position = -1;
            try {
                member.getValue(position);
            } catch (const std::exception&) {
                position = -1;
            }
            if (position < 0 || position >= maxAccelerators) {
                errors.push_back({ ErrorKind::OutOfRange, "accelerator position is out of range", "count positions from 0", reader.pathOf("accelerators") });
                return {};
            }
            accelerators.push_back(position);
        }
        return accelerators;
    }

    TaskReported parseTask(const JsonValue& value, const WorkerId& worker, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        TaskReported task;
        task.task_.job_ = JobId(reader.string("job"));
        task.task_.attempt_ = static_cast<int>(reader.integer("attempt", 1, maxAttempts));
        task.task_.index_ = static_cast<int>(reader.integer("index", 0, maxGangTasks - 1));
        task.worker_ = worker;
        const std::optional<TaskState> state = taskStateNamed(reader.string("state"));
        if (state)
            task.state_ = *state;
        else
            reader.report(ErrorKind::OutOfRange, "task state is unknown", "use one of the task states of the worker protocol", "state");
        // string() rejects empty values, and the reason is usually empty.
        if (const JsonValue* reason = reader.any("reason"))
            reason->getValue(task.reason_);
        task.reason_.resize(std::min(task.reason_.size(), maxReasonBytes));
        task.accelerators_ = parseAccelerators(reader, errors);
        task.memoryBytes_ = reader.integerOr("memory_bytes", 0, 0, maxMemoryBytes);
        task.processorShare_ = reader.numberOr("processor_share", 0, 0, maxProcessorMillis);
        task.checkpointedShare_ = reader.numberOr("checkpointed_share", 0, 0, 1);
        return task;
    }

    WorkerCapacity parseCapacity(ObjectReader& report, std::vector<Error>& errors)
    {
        WorkerCapacity capacity;
        const JsonValue* value = report.object("capacity");
        if (!value)
            return capacity;
        ObjectReader reader(*value, report.pathOf("capacity"), errors);
        capacity.accelerators_ = static_cast<int>(reader.integer("accelerators", 0, maxAccelerators));
        capacity.processorMillis_ = reader.integer("processor_millis", 0, maxProcessorMillis);
        capacity.memoryBytes_ = reader.integer("memory_bytes", 0, maxMemoryBytes);
        return capacity;
    }

}

Result<WorkerReport> parseWorkerReport(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, "report", errors);
    WorkerReport report;
    report.worker_ = WorkerId(reader.string("worker"));
    report.rack_ = RackId(reader.string("rack"));
    report.dataCentre_ = DataCentreId(reader.string("data_centre"));
    report.capacity_ = parseCapacity(reader, errors);
    report.clockMicros_ = reader.integer("clock_us", 0, maxClockMicros);
    report.epoch_ = static_cast<std::uint64_t>(reader.integerOr("epoch", 0, 0, std::numeric_limits<std::int64_t>::max()));
    if (const JsonValue* tasks = reader.array("tasks")) {
        int index = 0;
        for (const JsonValue& task : *tasks)
            report.tasks_.push_back(parseTask(task, report.worker_, "report.tasks[" + std::to_string(index++) + "]", errors));
    }
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return report;
}

JsonValue writeTaskKey(const TaskKey& task)
{
    JsonValue value = jsonObject();
    value.addValue("job", task.job_.value());
    value.addValue("attempt", task.attempt_);
    value.addValue("index", task.index_);
    return value;
}

}
