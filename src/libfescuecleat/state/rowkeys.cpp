#include "state/rowkeys.h"

#include <cctype>
#include <charconv>
#include <string_view>

namespace fescuecleat::rowkeys {

namespace {

    /** Zero-padded digits of a version, so that keys sort by version. */
    constexpr std::size_t versionDigits = 12;

    bool isUnreserved(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || std::string_view("._~-").find(c) != std::string_view::npos;
    }

}

std::string escaped(const std::string& name)
{
    static const char* const digits = "0123456789ABCDEF";
    std::string text;
    for (const char c : name) {
        if (isUnreserved(c)) {
            text += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        text += '%';
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string unescaped(const std::string& text)
{
    std::string name;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const char* digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
            name += static_cast<char>(byte);
            i += 2;
        } else {
            name += text[i];
        }
    }
    return name;
}

std::string control(const DataCentreId& dataCentre)
{
    return "datacentre/" + escaped(dataCentre.value()) + "/";
}

std::string lease(const DataCentreId& dataCentre)
{
    return control(dataCentre) + "lease";
}

std::string heartbeat(const DataCentreId& dataCentre)
{
    return control(dataCentre) + "heartbeat";
}

std::string service(const DataCentreId& dataCentre)
{
    return control(dataCentre) + "service";
}

std::string acknowledgement(const DataCentreId& dataCentre)
{
    return control(dataCentre) + "acknowledgement";
}

std::string jobs(const DataCentreId& dataCentre)
{
    return "job/" + escaped(dataCentre.value()) + "/";
}

std::string job(const DataCentreId& dataCentre, const JobId& job)
{
    return jobs(dataCentre) + escaped(job.value());
}

std::string endedJobs(const DataCentreId& dataCentre)
{
    return "ended/" + escaped(dataCentre.value()) + "/";
}

std::string endedJob(const DataCentreId& dataCentre, const JobId& job)
{
    return endedJobs(dataCentre) + escaped(job.value());
}

std::string inbox(const DataCentreId& dataCentre)
{
    return "inbox/" + escaped(dataCentre.value()) + "/";
}

std::string submission(const DataCentreId& dataCentre, const JobId& job)
{
    return inbox(dataCentre) + "submission/" + escaped(job.value());
}

std::string cancellation(const DataCentreId& dataCentre, const JobId& job)
{
    return inbox(dataCentre) + "cancellation/" + escaped(job.value());
}

std::string jobKey(const OrganisationId& organisation, const std::string& idempotencyKey)
{
    return "jobkey/" + escaped(organisation.value()) + "/" + escaped(idempotencyKey);
}

std::string configuration()
{
    return "configuration/current";
}

std::string configurationVersions()
{
    return "configuration/version/";
}

std::string configurationVersion(std::uint64_t version)
{
    const std::string digits = std::to_string(version);
    const std::string padding(digits.size() < versionDigits ? versionDigits - digits.size() : 0, '0');
    return configurationVersions() + padding + digits;
}

std::string configurationsInForce()
{
    return "configuration/inforce/";
}

std::string configurationInForce(const DataCentreId& dataCentre)
{
    return configurationsInForce() + escaped(dataCentre.value());
}

}
