#include "node/organisationmetrics.h"

#include <set>

namespace fescuecleat {

namespace {

    /** The name as the value of a label; operators choose names freely. */
    std::string labelValue(const std::string& name)
    {
        std::string value;
        for (const char c : name) {
            if (c == '"' || c == '\\')
                value += '\\';
            value += c == '\n' ? ' ' : c;
        }
        return value;
    }

}

std::string organisationMetrics(const PoolState& state)
{
    std::set<std::string> names;
    for (const auto& [name, used] : state.usage_.byOrganisation())
        names.insert(name);
    for (const auto& [name, policy] : state.usage_.policies())
        names.insert(name);
    std::string text;
    for (const std::string& name : names) {
        const std::string label = "{organisation=\"" + labelValue(name) + "\"";
        const Resources used = state.usage_.used(name);
        const Resources& limit = state.usage_.policy(name).limit_;
        for (const ResourceKind kind : resourceKinds) {
            const std::string labels = label + ",resource=\"" + toString(kind) + "\"} ";
            text += "fescuecleat_organisation_used" + labels + std::to_string(amountOf(used, kind)) + "\n";
            if (amountOf(limit, kind) > 0)
                text += "fescuecleat_organisation_limit" + labels + std::to_string(amountOf(limit, kind)) + "\n";
        }
        const auto wait = state.limitWaits_.find(name);
        if (limit != Resources {})
            text += "fescuecleat_jobs_waiting_for_limit" + label + "} " + std::to_string(wait == state.limitWaits_.end() ? 0 : wait->second.jobs_) + "\n";
    }
    return text;
}

}
