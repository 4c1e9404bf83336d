// Tables and JSON on standard output.
#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace radishford {

// Rows of texts with a heading.
struct TextTable {
    std::vector<std::string> heading_;
    std::vector<std::vector<std::string>> rows_;
};

// Prints columns of equal width.
void printTable(const TextTable &table);

// Prints a JSON value on one line.
void printJson(const boost::json::value &value);

// The table of a list of flat objects, with the keys as heading.
TextTable tableOf(const boost::json::value &rows);

// A JSON scalar as people read it.
std::string plainText(const boost::json::value &value);

} // namespace radishford
