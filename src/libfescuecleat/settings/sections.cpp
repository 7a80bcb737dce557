#include "settings/sections.h"

namespace fescuecleat {

const std::vector<std::string>& settingsSections()
{
    static const std::vector<std::string> sections { "instance", "platform", "data_centres", "log", "tls", "peers" };
    return sections;
}

const std::vector<std::string>& configurationSections()
{
    static const std::vector<std::string> sections { "data_centre", "organisations", "services", "operators", "policy" };
    return sections;
}

JsonValue extractConfiguration(const JsonValue& document)
{
    JsonValue part = jsonObject();
    for (const std::string& section : configurationSections()) {
        const JsonValue* found = document.findMember(section);
        if (!found)
            continue;
        JsonValue& member = part.addMember(section);
        member = *found;
        member.setName(section);
    }
    return part;
}

}
