#include "cli/keycommand.h"

#include "auth/keyhash.h"
#include "cli/commandsupport.h"
#include "settings/memberreaders.h"

#include <array>
#include <fstream>
#include <map>
#include <zmq.h>

namespace fescuecleat {

namespace {

    constexpr const char* operatorsOwner = "operators";
    /** Size of a CURVE key in Z85 encoding, including the terminating zero. */
    constexpr std::size_t curveKeyTextBytes = 41;

    ExitCode createPeerKey(const CommandArguments& arguments, const CommandContext& context)
    {
        std::array<char, curveKeyTextBytes> publicKey {};
        std::array<char, curveKeyTextBytes> secretKey {};
        if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
            return printUsageErrors(arguments, context, { { ErrorKind::Unsupported, "the ZeroMQ library was built without CURVE", "install a ZeroMQ library with CURVE", {} } });
        JsonValue value = jsonObject();
        value.addValue("public_key", std::string(publicKey.data()));
        value.addValue("secret_key", std::string(secretKey.data()));
        printResult(arguments, context, value);
        return ExitCode::Success;
    }

    void addHash(JsonValue& owner, const KeyHash& hash)
    {
        JsonValue& keys = owner.addMember("keys");
        keys.setCategory(JsonValue::Array);
        keys.addMember().setValue(toString(hash));
    }

    /** Builds a settings overlay with the hash of each owner's new key. */
    JsonValue buildOverlay(const std::map<std::string, NewKey>& keys)
    {
        JsonValue overlay = jsonObject();
        JsonValue organisations = jsonObject();
        for (const auto& [owner, key] : keys) {
            JsonValue& member = (owner == operatorsOwner ? overlay : organisations).addMember(owner);
            member.setCategory(JsonValue::Object);
            addHash(member, key.hash_);
        }
        if (organisations.memberCount() > 0) {
            JsonValue& member = overlay.addMember("organisations");
            member = organisations;
            member.setName("organisations");
        }
        return overlay;
    }

    ExitCode createOwnerKeys(const CommandArguments& arguments, const CommandContext& context)
    {
        std::vector<Error> errors;
        std::map<std::string, NewKey> keys;
        for (const std::string& owner : arguments.operands_) {
            checkName(owner, owner, errors);
            keys.emplace(owner, createKey());
        }
        if (!errors.empty())
            return printUsageErrors(arguments, context, errors);
        if (!arguments.overlayFile_.empty()) {
            std::ofstream out(arguments.overlayFile_);
            out << writePrettyJson(buildOverlay(keys)) << '\n';
            out.flush();
            if (!out)
                return printUsageErrors(arguments, context, { { ErrorKind::NotFound, "file can't be written", "choose a path that this user may write", arguments.overlayFile_ } });
        }
        if (arguments.output_ == OutputFormat::Json) {
            JsonValue rows = jsonArray();
            for (const auto& [owner, key] : keys) {
                JsonValue& row = rows.addMember();
                row.setCategory(JsonValue::Object);
                row.addValue("owner", owner);
                row.addValue("key", key.key_);
                row.addValue("hash", toString(key.hash_));
            }
            context.out_ << writeJson(rows) << '\n';
            return ExitCode::Success;
        }
        for (const auto& [owner, key] : keys)
            context.out_ << owner << ' ' << key.key_ << '\n';
        return ExitCode::Success;
    }

}

ExitCode newKeyCommand(const CommandArguments& arguments, const CommandContext& context)
{
    if (arguments.isPeerKey_)
        return createPeerKey(arguments, context);
    if (!arguments.operands_.empty())
        return createOwnerKeys(arguments, context);
    const NewKey key = createKey();
    JsonValue value = jsonObject();
    value.addValue("key", key.key_);
    value.addValue("hash", toString(key.hash_));
    printResult(arguments, context, value);
    return ExitCode::Success;
}

}
