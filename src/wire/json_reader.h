// Validating reader for JSON objects. Every error message names the key.
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

// Reads one JSON object, checks types and ranges, and rejects unknown keys. The object must outlive the reader.
class JsonReader
{
public:
    // Starts to read an object. The path is the prefix of the keys in error messages. Throws Error with WrongType for other values.
    JsonReader(const boost::json::value &value, std::string path);

    // True when the key is present. The key then counts as read.
    bool has(const char *key);

    // Reads a required string. Throws Error with MissingKey or WrongType, as all reads of required values do.
    std::string text(const char *key);

    // Reads a required string of 1 to the given number of characters. Throws Error with OutOfRange.
    std::string boundedString(const char *key, std::size_t maxLength);

    // Reads an optional string; returns the fallback when the key is absent.
    std::string text(const char *key, const std::string &fallback);

    // Reads a required integer within the limits, which are included. Throws Error with OutOfRange.
    std::int64_t number(const char *key, std::int64_t low, std::int64_t high);

    // Reads an optional integer within the limits; the fallback is not checked against them.
    std::int64_t number(const char *key, std::int64_t low, std::int64_t high, std::int64_t fallback);

    // Reads an optional boolean.
    bool boolean(const char *key, bool fallback);

    // Reads an optional array of strings; empty when the key is absent.
    std::vector<std::string> texts(const char *key);

    // Reads an optional array of any values; empty when the key is absent.
    std::vector<boost::json::value> list(const char *key);

    // Returns a required value of any type. Throws Error with MissingKey.
    const boost::json::value &value(const char *key);

    // Full path of a key, for error messages.
    [[nodiscard]] std::string keyPath(const std::string &key) const;

    // Throws Error with UnknownKey when the object contains a key that was never read. Called after all reads.
    void rejectUnknownKeys() const;

private:
    // Returns the value of a key, or nullptr, and marks the key as read.
    const boost::json::value *find(const char *key);

    // Object that is read; owned by the caller.
    const boost::json::object *object_;
    // Path of the object, for error messages.
    std::string path_;
    // Keys that have been read.
    std::set<std::string, std::less<>> readKeys_;
};

// Parses a JSON document. Throws Error with BadJson, whose message begins with the subject.
boost::json::value parseJson(const std::string &text, const std::string &subject);

// Returns the contents of a file. Throws Error with UnreadableFile.
std::string readFile(const std::string &path);

} // namespace radishford
