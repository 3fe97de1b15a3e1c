#include "config/json_document.h"

#include <fstream>
#include <sstream>

#include "config/config_error.h"

namespace gulltrestle::config {

json::Value parseDocument(std::string_view text, std::string_view documentName) {
  json::Parser parser;
  try {
    parser.feed(text);
    parser.finish();
  } catch (const json::Malformed& error) {
    throw ConfigError(documentName, std::string("is not valid JSON: ") + error.what());
  }
  return parser.take();
}

json::Value loadDocument(const std::string& path, std::string_view documentName) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) throw ConfigError(documentName, "'" + path + "' cannot be read");
  return parseDocument(content.str(), documentName);
}

}  // namespace gulltrestle::config
