// Tables and JSON on standard output.
#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace radishford {

// A table of strings with a heading.
struct TextTable {
    std::vector<std::string> heading_;
    std::vector<std::vector<std::string>> rows_;
};

// Prints the table with aligned columns.
void printTable(const TextTable &table);

// Prints a JSON value on one line.
void printJson(const boost::json::value &value);

// Converts an array of flat objects into a table. The keys of the first object become the heading.
TextTable makeTable(const boost::json::value &rows);

// Returns a string without quotes, and any other value as JSON.
std::string plainText(const boost::json::value &value);

} // namespace radishford
