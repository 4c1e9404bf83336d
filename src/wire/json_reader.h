// Checked reading of JSON objects: every failure names the key.
#pragma once

#include "core/error.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace radishford {

// Reads one JSON object and rejects keys that nobody asked for.
class JsonReader
{
public:
    // Reads the object at a path, which is used in messages. Throws Error with WrongType when the value is no object.
    JsonReader(const boost::json::value &value, std::string path);

    // True when the key is present.
    bool has(const char *key);

    // A required text.
    std::string text(const char *key);

    // A required text of one to so many characters.
    std::string name(const char *key, std::size_t most);

    // An optional text.
    std::string text(const char *key, const std::string &fallback);

    // A required whole number within limits.
    std::int64_t number(const char *key, std::int64_t low, std::int64_t high);

    // An optional whole number within limits.
    std::int64_t number(const char *key, std::int64_t low, std::int64_t high, std::int64_t fallback);

    // An optional truth value.
    bool flag(const char *key, bool fallback);

    // An optional list of texts.
    std::vector<std::string> texts(const char *key);

    // A list of values; empty when absent.
    std::vector<boost::json::value> list(const char *key);

    // A required value of any type.
    const boost::json::value &value(const char *key);

    // Path of a key, for messages.
    [[nodiscard]] std::string pathOf(const std::string &key) const;

    // Throws Error with UnknownKey when the object has a key that was not read.
    void finish() const;

private:
    // The value of a key, or nullptr.
    const boost::json::value *find(const char *key);

    // The object.
    const boost::json::object *object_;
    // Where it stands.
    std::string path_;
    // Keys asked for.
    std::set<std::string, std::less<>> known_;
};

// Parses a text. Throws Error with BadJson.
boost::json::value parseJson(const std::string &text, const std::string &subject);

// Reads a file whole. Throws Error with UnreadableFile.
std::string readFile(const std::string &path);

} // namespace radishford
