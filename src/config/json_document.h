// JSON documents of the configuration: the router's own file and those of the optional parts.
#pragma once

#include <string>
#include <string_view>

#include "protocol/json/json.h"

namespace gulltrestle::config {

// By which errors name a document as a whole, where it has no name of its own.
constexpr std::string_view kDefaultDocumentName = "the file";

// Parses a whole document. Throws ConfigError, which names `documentName`, where the text is not JSON.
json::Value parseDocument(std::string_view text, std::string_view documentName = kDefaultDocumentName);

// The same from a file. Throws ConfigError also where the file can't be read.
json::Value loadDocument(const std::string& path, std::string_view documentName = kDefaultDocumentName);

}  // namespace gulltrestle::config
