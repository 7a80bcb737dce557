#include "api/errorresponse.h"

namespace fescuecleat {

namespace {

    /** Time after which a caller may retry after a transient error. */
    constexpr const char* retryAfterSeconds = "1";

    bool isTransient(ErrorKind kind)
    {
        return kind == ErrorKind::Overloaded || kind == ErrorKind::Unavailable;
    }

}

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSyntax:
    case ErrorKind::UnknownMember:
    case ErrorKind::DuplicateMember:
    case ErrorKind::MissingMember:
    case ErrorKind::WrongType:
    case ErrorKind::WrongUnit:
    case ErrorKind::OutOfRange:
    case ErrorKind::TooDeep:
        return 400;
    case ErrorKind::Unauthenticated:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Unsupported:
        return 405;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::UnknownReference:
    case ErrorKind::GuaranteeDoesNotFit:
        return 422;
    case ErrorKind::Overloaded:
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::OutcomeUnknown:
        return 504;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

JsonValue toJson(const Error& error)
{
    JsonValue value = jsonObject();
    value.addValue("kind", std::string(errorKindName(error.kind_)));
    value.addValue("message", error.message_);
    value.addValue("remedy", error.remedy_);
    if (!error.location_.empty())
        value.addValue("location", error.location_);
    return value;
}

HttpResponse writeError(const Error& error)
{
    HttpResponse response = writeAnswer(toJson(error), httpStatus(error.kind_));
    if (isTransient(error.kind_))
        response.headers_["retry-after"] = retryAfterSeconds;
    if (error.kind_ == ErrorKind::Unauthenticated)
        response.headers_["www-authenticate"] = "Bearer";
    return response;
}

HttpResponse writeErrors(const std::vector<Error>& errors)
{
    if (errors.empty())
        return writeError({ ErrorKind::Internal, "an error was reported without details", "report this with the state dump", {} });
    HttpResponse response = writeError(errors.front());
    JsonValue body = toJson(errors.front());
    JsonValue& list = body.addMember("errors");
    list.setCategory(JsonValue::Array);
    for (const Error& error : errors) {
        JsonValue& element = list.addMember();
        element = toJson(error);
    }
    response.body_ = writeJson(body);
    return response;
}

HttpResponse writeAnswer(const JsonValue& body, int status)
{
    HttpResponse response;
    response.status_ = status;
    response.headers_["content-type"] = "application/json";
    response.body_ = writeJson(body);
    return response;
}

}
