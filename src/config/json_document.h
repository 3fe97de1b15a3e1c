// JSON documents of the configuration: the router's own file and the files of the optional parts.
#pragma once

#include <string>
#include <string_view>

#include "protocol/json/json.h"

namespace gulltrestle::config {

// The name of a document in errors that concern the whole document, unless the caller provides another.
constexpr std::string_view kDefaultDocumentName = "the file";

// Parses a whole document. Throws ConfigError, which names `documentName`, if the text is not valid JSON.
json::Value parseDocument(std::string_view text, std::string_view documentName = kDefaultDocumentName);

// Like parseDocument(), for the contents of a file. Throws ConfigError also if the file cannot be read.
json::Value loadDocument(const std::string& path, std::string_view documentName = kDefaultDocumentName);

}  // namespace gulltrestle::config
