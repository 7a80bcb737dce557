#include "settings/keyhashreader.h"

#include "auth/keyhash.h"
#include "settings/memberreaders.h"

namespace fescuecleat {

std::vector<std::string> readKeyHashes(ObjectReader& reader, const std::string& name)
{
    std::vector<std::string> hashes = readStrings(reader, name);
    for (std::size_t index = 0; index < hashes.size(); ++index) {
        if (hashes[index].empty())
            continue;
        const Result<KeyHash> hash = parseKeyHash(hashes[index]);
        if (!hash)
            reader.report(hash.error().kind_, hash.error().message_, hash.error().remedy_, name + "[" + std::to_string(index) + "]");
    }
    return hashes;
}

}
