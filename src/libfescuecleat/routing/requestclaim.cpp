#include "routing/requestclaim.h"

#include "json/json.h"
#include "json/objectreader.h"

#include <sodium.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t digestBytes = 16;
    constexpr std::size_t maxTextBytes = 1U << 21U;
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;

    std::string hex(const std::string& bytes)
    {
        std::string text(bytes.size() * 2 + 1, '\0');
        sodium_bin2hex(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
        text.pop_back();
        return text;
    }

    std::string digest(const std::string& content)
    {
        std::string bytes(digestBytes, '\0');
        crypto_generichash(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
            reinterpret_cast<const unsigned char*>(content.data()), content.size(), nullptr, 0);
        return hex(bytes);
    }

    /** Joins parts with length prefixes, so that different lists give different texts. */
    std::string joinLengthPrefixed(std::initializer_list<std::string> parts)
    {
        std::string joined;
        for (const std::string& part : parts)
            joined += std::to_string(part.size()) + ":" + part;
        return joined;
    }

    constexpr int base64Variant = sodium_base64_VARIANT_ORIGINAL;

    std::string toBase64(const std::string& bytes)
    {
        std::string text(sodium_base64_encoded_len(bytes.size(), base64Variant), '\0');
        sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), base64Variant);
        text.pop_back();
        return text;
    }

    std::optional<std::string> fromBase64(const std::string& text)
    {
        std::string bytes(text.size(), '\0');
        std::size_t size = 0;
        if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, base64Variant) != 0)
            return std::nullopt;
        bytes.resize(size);
        return bytes;
    }

    RecordedAnswer parseAnswer(const JsonValue& value, std::vector<Error>& errors)
    {
        ObjectReader reader(value, "answer", errors);
        RecordedAnswer answer;
        answer.status_ = static_cast<int>(reader.integer("status", minStatus, maxStatus));
        answer.object_ = reader.stringOr("object", "", maxTextBytes);
        const std::optional<std::string> body = fromBase64(reader.stringOr("body", "", maxTextBytes));
        if (body)
            answer.body_ = *body;
        else
            reader.report(ErrorKind::WrongType, "the body is not valid base64", "remove the claim row", "body");
        if (const JsonValue* headers = reader.object("headers")) {
            for (const JsonValue& header : *headers)
                header >>= answer.headers_[header.name()];
        }
        reader.finish();
        return answer;
    }

}

std::string claimKey(const ServiceRequest& request)
{
    return "claims/" + hex(request.organisation_.value()) + "/" + digest(request.idempotencyKey_);
}

std::string claimDigest(const ServiceRequest& request)
{
    return digest(joinLengthPrefixed({ request.service_.value(), request.kind_, request.body_ }));
}

std::string writeRequestClaim(const RequestClaim& claim)
{
    JsonValue value = jsonObject();
    value.addMember("id") <<= claim.id_;
    value.addMember("instance") <<= claim.instance_;
    value.addMember("digest") <<= claim.digest_;
    if (claim.isOutcomeUnknown_)
        value.addMember("unknown") <<= true;
    if (claim.answer_) {
        JsonValue& answer = value.addMember("answer");
        answer.setCategory(JsonValue::Object);
        answer.addMember("status") <<= claim.answer_->status_;
        JsonValue& headers = answer.addMember("headers");
        headers.setCategory(JsonValue::Object);
        for (const auto& [name, content] : claim.answer_->headers_)
            headers.addMember(name) <<= content;
        if (claim.answer_->object_.empty() && !claim.answer_->body_.empty())
            answer.addMember("body") <<= toBase64(claim.answer_->body_);
        if (!claim.answer_->object_.empty())
            answer.addMember("object") <<= claim.answer_->object_;
    }
    return writeJson(value);
}

Result<RequestClaim> parseRequestClaim(const Row& row)
{
    const Result<JsonValue> value = parseJson(row.value_, row.key_);
    if (!value)
        return tl::unexpected<Error>(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, row.key_, errors);
    RequestClaim claim;
    claim.id_ = reader.string("id");
    claim.instance_ = reader.string("instance");
    claim.digest_ = reader.string("digest");
    claim.isOutcomeUnknown_ = reader.booleanOr("unknown", false);
    if (const JsonValue* answer = reader.object("answer", false))
        claim.answer_ = parseAnswer(*answer, errors);
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return claim;
}

}
