#pragma once

#include "standins/common/endpoint.h"
#include "standins/worker/workermodel.h"
#include "json/objectreader.h"

namespace fescuecleat::standins {

/** The API of one worker. */
class WorkerEndpoint : public Endpoint {
public:
    /** Declared run times are multiplied by `runScale`. */
    WorkerEndpoint(WorkerModel& model, double runScale)
        : model_(model)
        , runScale_(runScale)
    {
    }

    void handle(const HttpRequest&, const Reply&) override;

private:
    HttpResponse respond(const HttpRequest&, Time now);
    HttpResponse renewPermit(ObjectReader&, std::vector<Error>& errors, Time now);
    WorkerRefusal execute(const std::string& path, ObjectReader&, std::vector<Error>& errors, Time now);

    WorkerModel& model_;
    double runScale_;
};

}
