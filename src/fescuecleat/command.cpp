#include "command.h"

#include "cli/configcommands.h"
#include "cli/explaincommand.h"
#include "cli/jobcommands.h"
#include "cli/keycommand.h"
#include "cli/operatorcommands.h"
#include "cli/requestcommand.h"

namespace fescuecleat {

namespace {

    const std::vector<std::string> callerOptions { "caller", "key-file", "as", "timeout" };
    const std::vector<std::string> operatorOptions { "operator", "key-file", "as", "timeout" };

    std::vector<std::string> withOptions(std::vector<std::string> options, const std::vector<std::string>& more)
    {
        options.insert(options.end(), more.begin(), more.end());
        return options;
    }

    std::vector<Command> jobCommands()
    {
        return {
            { "submit", "", "Submits a job, or all jobs of a file.",
                withOptions(callerOptions, { "file", "tasks", "accelerators", "processor-millis", "memory-bytes", "run-time", "adjacency", "urgent", "not-idempotent", "no-checkpoint", "idempotency-key", "payload", "wait" }),
                { "fescuecleat submit --tasks 4 --accelerators 8 --adjacency same_rack --run-time 2h --wait --timeout 3h",
                    "fescuecleat submit --file examples/demo/jobs.json --key-file keys.txt --wait" },
                submitCommand },
            { "status", "JOB", "Shows the state of a job.", callerOptions, { "fescuecleat status job-17 --output json" }, statusCommand },
            { "wait", "JOB...", "Waits until the jobs have ended or --timeout is up.", callerOptions, { "fescuecleat wait job-17 job-18 --timeout 10min" }, waitCommand },
            { "why", "JOB", "Explains why a job waits and what would unblock it.", callerOptions, { "fescuecleat why job-17" }, whyCommand },
            { "cancel", "JOB", "Cancels a job.", callerOptions, { "fescuecleat cancel job-17" }, cancelCommand },
            { "jobs", "", "Lists the jobs of the organisation whose key is used.", callerOptions, { "fescuecleat jobs --key-file keys.txt --as duomo" }, jobsCommand },
            { "request", "SERVICE", "Sends one request to a service and prints the answer.",
                withOptions(callerOptions, { "kind", "body", "body-file", "not-idempotent", "idempotency-key" }),
                { "fescuecleat request rilievo --kind crack-map --body-file wall.json --timeout 5s",
                    "fescuecleat request rilievo --kind tile-batch --not-idempotent --idempotency-key batch-7 --body '{}'" },
                requestCommand },
        };
    }

    std::vector<Command> operatorCommands()
    {
        return {
            { "data-centre list", "", "Lists the data centres and whether they are in service.", operatorOptions, { "fescuecleat data-centre list" }, listDataCentresCommand },
            { "data-centre out", "NAME", "Takes a data centre out of service; running work has --drain-time to end.", withOptions(operatorOptions, { "drain-time", "who" }),
                { "fescuecleat data-centre out palermo --drain-time 10min --timeout 30s" }, takeDataCentreOutCommand },
            { "data-centre return", "NAME", "Returns a data centre to service.", withOptions(operatorOptions, { "who" }), { "fescuecleat data-centre return palermo" }, returnDataCentreCommand },
            { "config check", "BASE OVERLAY...", "Shows the merged document, or all errors. Needs no daemon.", {},
                { "fescuecleat config check examples/pietralogica/base.json examples/pietralogica/catania.json" }, checkConfigCommand },
            { "config apply", "BASE... NAME=OVERLAY...", "Applies base files and an overlay for each data centre as one version.",
                withOptions(operatorOptions, { "expected-version", "who" }),
                { "fescuecleat config apply base.json catania=catania.json palermo=palermo.json --who anna" }, applyConfigCommand },
            { "config show", "", "Shows the configuration that is in force.", operatorOptions, { "fescuecleat config show --output json" }, showConfigCommand },
            { "config history", "", "Lists the configuration versions and who applied them.", operatorOptions, { "fescuecleat config history" }, configHistoryCommand },
            { "explain", "[JOB]", "Explains where a job would go now on a pool, and why, without submitting it.", { "instance", "timeout", "file", "queue", "organisation" },
                { "fescuecleat explain 5c0e7a21d94b36f8 --instance 10.1.0.18:7520", "fescuecleat explain --file job.json --queue nightly --organisation duomo --instance 10.1.0.18:7520" }, explainCommand },
            { "state", "", "Shows the state of one process as JSON.", operatorOptions, { "fescuecleat state --operator 10.0.0.5:7101" }, stateCommand },
            { "key new", "[OWNER...]", "Creates a key and its hash; with owners (organisations or \"operators\") one line OWNER KEY for each. Needs no daemon.",
                { "overlay", "peer" },
                { "fescuecleat key new", "fescuecleat key new operators duomo --overlay keys.json > keys.txt", "fescuecleat key new --peer" }, newKeyCommand },
        };
    }

    std::vector<Command> allCommands()
    {
        std::vector<Command> all = jobCommands();
        const std::vector<Command> more = operatorCommands();
        all.insert(all.end(), more.begin(), more.end());
        return all;
    }

}

const std::vector<Command>& commands()
{
    static const std::vector<Command> all = allCommands();
    return all;
}

const Command* findCommand(const std::vector<std::string>& words)
{
    const std::string one = words.empty() ? std::string() : words[0];
    const std::string two = words.size() < 2 ? one : one + " " + words[1];
    for (const Command& command : commands()) {
        if (command.name_ == two || command.name_ == one)
            return &command;
    }
    return nullptr;
}

}
