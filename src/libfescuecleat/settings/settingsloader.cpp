#include "settings/settingsloader.h"

#include "settings/merge.h"
#include "json/jsonlocator.h"

#include <fstream>
#include <sstream>

namespace fescuecleat {

namespace {

    /** Returns the path without its last member or index; empty for a top-level member. */
    std::string parentPath(const std::string& path)
    {
        const std::size_t end = path.find_last_of(".[");
        return end == std::string::npos ? std::string() : path.substr(0, end);
    }

    /** Returns "file:line" of a member, or of its nearest existing parent if it is missing; empty if there is none. */
    std::string sourcePosition(const Document& document, const std::string& location)
    {
        for (std::string path = location; !path.empty(); path = parentPath(path)) {
            // Later files override earlier ones.
            for (auto file = document.files_.rbegin(); file != document.files_.rend(); ++file) {
                const std::optional<int> line = lineOfPath(file->text_, path);
                if (line)
                    return file->name_ + ":" + std::to_string(*line);
            }
        }
        return {};
    }

}

Result<DocumentFile> readDocumentFile(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return failure(ErrorKind::NotFound, "file can't be read", "check its name and that this user may read it", name);
    std::ostringstream text;
    text << in.rdbuf();
    if (in.bad() || text.fail())
        return failure(ErrorKind::NotFound, "file can't be read or is empty", "check that it is a non-empty text file", name);

    Result<JsonValue> value = parseJson(text.str(), name);
    if (!value)
        return tl::make_unexpected(value.error());
    if (value->category() != JsonValue::Object)
        return failure(ErrorKind::WrongType, "file does not contain a JSON object", "write an object in braces", name);
    return DocumentFile { name, text.str(), std::move(*value) };
}

ValidationResult<Document> loadDocument(const std::vector<std::string>& names)
{
    Document document;
    std::vector<Error> errors;
    document.merged_ = jsonObject();
    for (const std::string& name : names) {
        Result<DocumentFile> file = readDocumentFile(name);
        if (!file) {
            errors.push_back(file.error());
            continue;
        }
        replace(document.merged_, merge(document.merged_, file->value_));
        document.files_.push_back(std::move(*file));
    }
    if (names.empty())
        errors.push_back({ ErrorKind::MissingMember, "no settings file is given", "name a base file, then its overlays", {} });
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    return document;
}

std::vector<Error> locateErrors(const Document& document, std::vector<Error> errors)
{
    for (Error& error : errors) {
        const std::string position = sourcePosition(document, error.location_);
        if (!position.empty())
            error.location_ = position + ": " + error.location_;
    }
    return errors;
}

}
