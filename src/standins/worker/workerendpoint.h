#pragma once

#include "standins/common/endpoint.h"
#include "standins/worker/workermodel.h"
#include "json/objectreader.h"

namespace fescuecleat::standins {

/** The calls of one worker. */
class WorkerEndpoint : public Endpoint {
public:
    /** `runScale` shortens declared run times. */
    WorkerEndpoint(WorkerModel& model, double runScale)
        : model_(model)
        , runScale_(runScale)
    {
    }

    void handle(const HttpRequest&, const Reply&) override;

private:
    HttpResponse answer(const HttpRequest&, Time now);
    HttpResponse renew(ObjectReader&, std::vector<Error>& errors, Time now);
    WorkerRefusal change(const std::string& path, ObjectReader&, std::vector<Error>& errors, Time now);

    WorkerModel& model_;
    double runScale_;
};

}
