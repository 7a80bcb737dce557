#pragma once

#include "base/result.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** One input file of a document: name, text and parsed value. */
struct DocumentFile {
    std::string name_;
    std::string text_;
    JsonValue value_;
};

/** A base file and its overlays, merged in order. */
struct Document {
    std::vector<DocumentFile> files_;
    JsonValue merged_;
};

/** Reads and parses one file. Errors: NotFound, WrongType and those of parseJson(), located by file name and, where known, line. */
Result<DocumentFile> readDocumentFile(const std::string& name);

/** Reads a base file followed by its overlays and merges them. Returns the errors of all files that fail. */
ValidationResult<Document> loadDocument(const std::vector<std::string>& names);

/** Prefixes the location of each error with "file:line" if one of the files contains its path. */
std::vector<Error> locateErrors(const Document&, std::vector<Error>);

}
