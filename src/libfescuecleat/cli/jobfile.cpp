#include "cli/jobfile.h"

#include "api/jobsubmission.h"
#include "settings/memberreaders.h"
#include "json/objectreader.h"

#include <set>

namespace fescuecleat {

namespace {

    /** Copies the members that belong to the submission. */
    JsonValue submissionMembers(const JsonValue& entry)
    {
        JsonValue part = jsonObject();
        for (const JsonValue& member : entry) {
            if (member.name() == "name" || member.name() == "organisation")
                continue;
            JsonValue& copy = part.addMember(member.name());
            copy = member;
            copy.setName(member.name());
        }
        return part;
    }

    JobFileEntry readEntry(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        JobFileEntry entry;
        const std::size_t errorCountBefore = errors.size();
        ObjectReader reader(value, path, errors);
        entry.name_ = reader.string("name");
        const std::string organisation = readName(reader, "organisation", errors);
        if (errors.size() > errorCountBefore)
            return entry;
        ValidationResult<JobSpec> spec = parseJobSubmission(submissionMembers(value), OrganisationId(organisation));
        if (spec) {
            entry.spec_ = std::move(*spec);
            return entry;
        }
        for (Error& error : spec.error()) {
            error.location_ = path + (error.location_.empty() ? "" : "." + error.location_);
            errors.push_back(std::move(error));
        }
        return entry;
    }

}

ValidationResult<std::vector<JobFileEntry>> parseJobFile(const std::string& text, const std::string& fileName)
{
    const Result<JsonValue> value = parseJson(text, fileName);
    if (!value)
        return tl::make_unexpected(std::vector<Error> { value.error() });
    std::vector<JobFileEntry> entries;
    std::vector<Error> errors;
    std::set<std::string> names;
    ObjectReader reader(*value, {}, errors);
    const JsonValue* jobs = reader.array("jobs");
    if (jobs) {
        for (const JsonValue& job : *jobs) {
            const std::string path = "jobs[" + std::to_string(entries.size()) + "]";
            entries.push_back(readEntry(job, path, errors));
            if (!names.insert(entries.back().name_).second)
                errors.push_back({ ErrorKind::DuplicateMember, "name \"" + entries.back().name_ + "\" is used twice", "give each job its own name", path + ".name" });
        }
    }
    reader.finish();
    if (errors.empty())
        return entries;
    for (Error& error : errors)
        error.location_ = fileName + ": " + error.location_;
    return tl::make_unexpected(std::move(errors));
}

}
