#include "settings/settingsparser.h"

#include "settings/keyhashreader.h"
#include "settings/memberreaders.h"
#include "settings/sections.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    /** Bounds of the thread pool of the HTTP server, which uses one thread per request in progress. */
    constexpr int maxCallerThreads = 200;
    constexpr int minCallerThreads = 5;
    /** Length of a CURVE key in Z85 encoding. */
    constexpr std::size_t z85KeyCharacters = 40;
    const DurationRange stopTimeoutRange { std::chrono::seconds(1), std::chrono::hours(1) };

    class Parser {
    public:
        explicit Parser(const JsonValue& document)
            : document_(document)
        {
        }

        void parse(bool isComplete)
        {
            ObjectReader reader(document_, {}, errors_);
            readInstance(reader.object("instance", isComplete), isComplete);
            readPlatform(reader.object("platform", isComplete));
            readDataCentres(reader, isComplete);
            readLog(reader.object("log", false));
            readTls(reader.object("tls", false));
            readPeers(reader.object("peers", false));
            readOperators(reader.object("operators", false));
            for (const std::string& section : configurationSections())
                reader.any(section);
            reader.finish();
            if (isComplete)
                checkConsistency();
        }

        Settings settings_;
        std::vector<Error> errors_;

    private:
        void readInstance(const JsonValue* section, bool isComplete)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "instance", errors_);
            if (isComplete || reader.has("id"))
                settings_.instance_ = InstanceId(readName(reader, "id", errors_));
            if (isComplete || reader.has("data_centre"))
                settings_.dataCentre_ = DataCentreId(readName(reader, "data_centre", errors_));
            if (isComplete || reader.has("caller_address"))
                settings_.callerAddress_ = readAddress(reader, "caller_address");
            if (isComplete || reader.has("operator_address"))
                settings_.operatorAddress_ = readAddress(reader, "operator_address");
            if (isComplete || reader.has("peer_address"))
                settings_.peerAddress_ = readAddress(reader, "peer_address");
            settings_.callerThreads_ = static_cast<int>(reader.integerOr("caller_threads", settings_.callerThreads_, minCallerThreads, maxCallerThreads));
            settings_.stopTimeout_ = readDuration(reader, "stop_time", settings_.stopTimeout_, stopTimeoutRange);
            reader.finish();
        }

        void readPlatform(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "platform", errors_);
            settings_.platformAddress_ = readAddress(reader, "address");
            reader.finish();
        }

        void readDataCentres(ObjectReader& reader, bool isComplete)
        {
            if (isComplete && !reader.has("data_centres"))
                reader.report(ErrorKind::MissingMember, "member is missing", "list every data centre of the deployment", "data_centres");
            for (const std::string& name : readStrings(reader, "data_centres")) {
                if (!name.empty())
                    checkName(name, "data_centres", errors_);
                settings_.dataCentres_.emplace_back(name);
            }
        }

        void readLog(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "log", errors_);
            const std::string format = reader.stringOr("format", "text");
            if (format != "text" && format != "json" && !format.empty())
                reader.report(ErrorKind::OutOfRange, "unknown log format \"" + format + "\"", "write \"text\" or \"json\"", "format");
            settings_.logFormat_ = format == "json" ? LogFormat::Json : LogFormat::Text;
            static const std::set<std::string> levels { "debug", "info", "warn", "error" };
            settings_.logLevel_ = reader.stringOr("level", settings_.logLevel_);
            if (!settings_.logLevel_.empty() && !levels.count(settings_.logLevel_))
                reader.report(ErrorKind::OutOfRange, "unknown log level \"" + settings_.logLevel_ + "\"", "write \"debug\", \"info\", \"warn\" or \"error\"", "level");
            reader.finish();
        }

        void readTls(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "tls", errors_);
            settings_.tlsCertificate_ = reader.string("certificate", 4096);
            settings_.tlsPrivateKey_ = reader.string("private_key", 4096);
            reader.finish();
        }

        void readPeers(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "peers", errors_);
            settings_.peerPublicKey_ = reader.string("public_key");
            settings_.peerSecretKey_ = reader.string("secret_key");
            settings_.acceptedPeerKeys_ = readStrings(reader, "accepted_public_keys");
            checkCurveKey(reader, "public_key", settings_.peerPublicKey_);
            checkCurveKey(reader, "secret_key", settings_.peerSecretKey_);
            for (const std::string& key : settings_.acceptedPeerKeys_)
                checkCurveKey(reader, "accepted_public_keys", key);
            reader.finish();
        }

        static void checkCurveKey(ObjectReader& reader, const std::string& name, const std::string& key)
        {
            if (!key.empty() && key.size() != z85KeyCharacters)
                reader.report(ErrorKind::OutOfRange, "CURVE key has " + std::to_string(key.size()) + " characters instead of 40", "use a key in Z85 encoding, as printed by fescuecleat key new --peer", name);
        }

        void readOperators(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "operators", errors_);
            settings_.bootstrapOperatorKeyHashes_ = readKeyHashes(reader, "keys");
            reader.finish();
        }

        void checkConsistency()
        {
            const auto& dataCentres = settings_.dataCentres_;
            if (!settings_.dataCentre_.isEmpty() && std::find(dataCentres.begin(), dataCentres.end(), settings_.dataCentre_) == dataCentres.end())
                errors_.push_back({ ErrorKind::UnknownReference, "data centre \"" + settings_.dataCentre_.value() + "\" is not one of data_centres", "add it to data_centres or correct it", "instance.data_centre" });
            checkAddressesDiffer();
            if (settings_.peerPublicKey_.empty() && !settings_.peerAddress_.ip_.empty() && !isLoopback(settings_.peerAddress_))
                errors_.push_back({ ErrorKind::MissingMember, "peer connections are not authenticated at " + toString(settings_.peerAddress_), "set peers.public_key and peers.secret_key, or listen on a loopback address", "peers" });
        }

        void checkAddressesDiffer()
        {
            std::set<std::string> seen;
            for (const Address& address : { settings_.callerAddress_, settings_.operatorAddress_, settings_.peerAddress_ }) {
                if (address.port_ != 0 && !seen.insert(toString(address)).second)
                    errors_.push_back({ ErrorKind::Conflict, "address " + toString(address) + " is used more than once", "give each of the three addresses its own port", "instance" });
            }
        }

        const JsonValue& document_;
    };

}

ValidationResult<Settings> parseSettings(const JsonValue& document)
{
    Parser parser(document);
    parser.parse(true);
    if (!parser.errors_.empty())
        return tl::make_unexpected(std::move(parser.errors_));
    return std::move(parser.settings_);
}

std::vector<Error> checkSettingsSections(const JsonValue& document)
{
    Parser parser(document);
    parser.parse(false);
    return std::move(parser.errors_);
}

}
