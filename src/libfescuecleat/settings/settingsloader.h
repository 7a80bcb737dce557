#pragma once

#include "base/result.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** One file of a document: its name, its text and what it says. */
struct DocumentFile {
    std::string name_;
    std::string text_;
    JsonValue value_;
};

/** A base file with its overlays laid over it, in order. */
struct Document {
    std::vector<DocumentFile> files_;
    JsonValue merged_;
};

/** Reads and parses one file. Errors: NotFound and those of parseJson, with the file and where it can be had the line. */
Result<DocumentFile> readDocumentFile(const std::string& name);

/** Reads BASE OVERLAY... and merges them; reports every file that fails. */
Checked<Document> loadDocument(const std::vector<std::string>& names);

/** Puts file and line before the path of each error that stands in one of the files. */
std::vector<Error> locateErrors(const Document&, std::vector<Error>);

}
