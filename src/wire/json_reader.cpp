// Validating reader for JSON objects.
#include "wire/json_reader.h"

#include <boost/json/parse.hpp>

#include <fstream>
#include <sstream>

namespace radishford {

namespace json = boost::json;

JsonReader::JsonReader(const json::value &value, std::string path)
    : object_(value.if_object())
    , path_(std::move(path))
{
    if (object_ == nullptr) {
        throw Error(ResultCode::WrongType, path_ + " (an object is expected)");
    }
}

bool JsonReader::has(const char *key)
{
    return find(key) != nullptr;
}

std::string JsonReader::text(const char *key)
{
    const json::value &found = value(key);
    if (!found.is_string()) {
        throw Error(ResultCode::WrongType, keyPath(key) + " (a string is expected)");
    }
    return std::string(found.get_string());
}

std::string JsonReader::boundedString(const char *key, std::size_t maxLength)
{
    std::string found = text(key);
    if (found.empty() || found.size() > maxLength) {
        throw Error(ResultCode::OutOfRange, keyPath(key) + " (1 to " + std::to_string(maxLength) + " characters)");
    }
    return found;
}

std::string JsonReader::text(const char *key, const std::string &fallback)
{
    return has(key) ? text(key) : fallback;
}

std::int64_t JsonReader::number(const char *key, std::int64_t low, std::int64_t high)
{
    const json::value &found = value(key);
    boost::system::error_code error;
    const auto number = found.to_number<std::int64_t>(error);
    if (!found.is_number() || found.is_double()) {
        throw Error(ResultCode::WrongType, keyPath(key) + " (an integer is expected)");
    }
    if (error || number < low || number > high) {
        throw Error(ResultCode::OutOfRange, keyPath(key) + " (" + std::to_string(low) + " to " + std::to_string(high) + ")");
    }
    return number;
}

std::int64_t JsonReader::number(const char *key, std::int64_t low, std::int64_t high, std::int64_t fallback)
{
    return has(key) ? number(key, low, high) : fallback;
}

bool JsonReader::boolean(const char *key, bool fallback)
{
    const json::value *found = find(key);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        throw Error(ResultCode::WrongType, keyPath(key) + " (true or false is expected)");
    }
    return found->get_bool();
}

std::vector<std::string> JsonReader::texts(const char *key)
{
    std::vector<std::string> result;
    for (const json::value &entry : list(key)) {
        if (!entry.is_string()) {
            throw Error(ResultCode::WrongType, keyPath(key) + " (an array of strings is expected)");
        }
        result.emplace_back(entry.get_string());
    }
    return result;
}

std::vector<json::value> JsonReader::list(const char *key)
{
    const json::value *found = find(key);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_array()) {
        throw Error(ResultCode::WrongType, keyPath(key) + " (an array is expected)");
    }
    return {found->get_array().begin(), found->get_array().end()};
}

const json::value &JsonReader::value(const char *key)
{
    const json::value *found = find(key);
    if (found == nullptr) {
        throw Error(ResultCode::MissingKey, keyPath(key));
    }
    return *found;
}

std::string JsonReader::keyPath(const std::string &key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

void JsonReader::rejectUnknownKeys() const
{
    for (const auto &member : *object_) {
        if (readKeys_.find(std::string_view(member.key())) == readKeys_.end()) {
            throw Error(ResultCode::UnknownKey, keyPath(member.key()));
        }
    }
}

const json::value *JsonReader::find(const char *key)
{
    readKeys_.insert(key);
    return object_->if_contains(key);
}

json::value parseJson(const std::string &text, const std::string &subject)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        throw Error(ResultCode::BadJson, subject + " (" + error.message() + ")");
    }
    return value;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw Error(ResultCode::UnreadableFile, path);
    }
    return text.str();
}

} // namespace radishford
