#include "settings/settingsparser.h"

#include "settings/keyhashreader.h"
#include "settings/memberreaders.h"
#include "settings/sections.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    /** The server holds one thread for each request in progress; it takes at most this many. */
    constexpr int mostCallerThreads = 200;
    constexpr int leastCallerThreads = 5;
    /** Length of a CURVE key in its printable form. */
    constexpr std::size_t z85KeyLength = 40;
    const DurationRange stopTimes { std::chrono::seconds(1), std::chrono::hours(1) };

    class Parser {
    public:
        explicit Parser(const JsonValue& document)
            : document_(document)
        {
        }

        void parse(bool isWhole)
        {
            ObjectReader reader(document_, {}, errors_);
            readInstance(reader.object("instance", isWhole), isWhole);
            readPlatform(reader.object("platform", isWhole));
            readDataCentres(reader, isWhole);
            readLog(reader.object("log", false));
            readTls(reader.object("tls", false));
            readPeers(reader.object("peers", false));
            readOperators(reader.object("operators", false));
            for (const std::string& section : configurationSections())
                reader.any(section);
            reader.finish();
            if (isWhole)
                checkTogether();
        }

        Settings settings_;
        std::vector<Error> errors_;

    private:
        void readInstance(const JsonValue* section, bool isWhole)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "instance", errors_);
            if (isWhole || reader.has("id"))
                settings_.instance_ = InstanceId(readName(reader, "id", errors_));
            if (isWhole || reader.has("data_centre"))
                settings_.dataCentre_ = DataCentreId(readName(reader, "data_centre", errors_));
            if (isWhole || reader.has("caller_address"))
                settings_.callerAddress_ = readAddress(reader, "caller_address");
            if (isWhole || reader.has("operator_address"))
                settings_.operatorAddress_ = readAddress(reader, "operator_address");
            if (isWhole || reader.has("peer_address"))
                settings_.peerAddress_ = readAddress(reader, "peer_address");
            settings_.callerThreads_ = static_cast<int>(reader.integerOr("caller_threads", settings_.callerThreads_, leastCallerThreads, mostCallerThreads));
            settings_.stopTime_ = readDuration(reader, "stop_time", settings_.stopTime_, stopTimes);
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

        void readDataCentres(ObjectReader& reader, bool isWhole)
        {
            if (isWhole && !reader.has("data_centres"))
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
                reader.report(ErrorKind::OutOfRange, "log format \"" + format + "\" is not known", "write \"text\" or \"json\"", "format");
            settings_.logFormat_ = format == "json" ? LogFormat::Json : LogFormat::Text;
            static const std::set<std::string> levels { "debug", "info", "warn", "error" };
            settings_.logLevel_ = reader.stringOr("level", settings_.logLevel_);
            if (!settings_.logLevel_.empty() && !levels.count(settings_.logLevel_))
                reader.report(ErrorKind::OutOfRange, "log level \"" + settings_.logLevel_ + "\" is not known", "write \"debug\", \"info\", \"warn\" or \"error\"", "level");
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
            if (!key.empty() && key.size() != z85KeyLength)
                reader.report(ErrorKind::OutOfRange, "CURVE key has " + std::to_string(key.size()) + " characters", "give 40 characters in Z85, as fescuecleat key new --peer prints them", name);
        }

        void readOperators(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "operators", errors_);
            settings_.bootstrapOperatorKeyHashes_ = readKeyHashes(reader, "keys");
            reader.finish();
        }

        void checkTogether()
        {
            const auto& all = settings_.dataCentres_;
            if (!settings_.dataCentre_.isEmpty() && std::find(all.begin(), all.end(), settings_.dataCentre_) == all.end())
                errors_.push_back({ ErrorKind::UnknownReference, "data centre \"" + settings_.dataCentre_.value() + "\" is not one of data_centres", "add it to data_centres or correct it", "instance.data_centre" });
            checkAddressesDiffer();
            if (settings_.peerPublicKey_.empty() && !settings_.peerAddress_.ip_.empty() && !isLoopback(settings_.peerAddress_))
                errors_.push_back({ ErrorKind::MissingMember, "peers can't be authenticated at " + toString(settings_.peerAddress_), "set peers.public_key and peers.secret_key, or listen at a loopback address", "peers" });
        }

        void checkAddressesDiffer()
        {
            std::set<std::string> seen;
            for (const Address& address : { settings_.callerAddress_, settings_.operatorAddress_, settings_.peerAddress_ }) {
                if (address.port_ != 0 && !seen.insert(toString(address)).second)
                    errors_.push_back({ ErrorKind::Conflict, "address " + toString(address) + " is used twice", "give each of the three addresses its own port", "instance" });
            }
        }

        const JsonValue& document_;
    };

}

Checked<Settings> parseSettings(const JsonValue& document)
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
