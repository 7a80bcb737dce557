#include "calleranswer.h"

#include "base/overloaded.h"

namespace fescuecleat {

int CallerAnswer::status() const
{
    return std::visit(Overloaded {
                          [](const CallNotSent&) { return 0; },
                          [](const CallUnanswered&) { return 0; },
                          [](const PlainAnswer& answer) { return answer.status_; },
                          [](const StateAnswer&) { return 200; },
                          [](const MalformedAnswer& answer) { return answer.status_; } },
        content_);
}

std::string CallerAnswer::outcomeName() const
{
    if (std::holds_alternative<CallNotSent>(content_))
        return "not sent";
    return status() == 0 ? "no answer" : std::to_string(status());
}

bool CallerAnswer::isOutcomeUnknown() const
{
    return std::holds_alternative<CallUnanswered>(content_) || status() == 502 || status() == 504;
}

}
