// Tables and JSON on standard output.
#include "ctl/output.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace radishford {

namespace json = boost::json;

namespace {

// Prints one row; each column but the last is padded to its width.
void printRow(const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    constexpr std::size_t ColumnGap = 2;
    for (std::size_t column = 0; column < row.size(); ++column) {
        const bool last = column + 1 == row.size();
        std::cout << row[column];
        if (!last) {
            std::cout << std::string(widths[column] - row[column].size() + ColumnGap, ' ');
        }
    }
    std::cout << "\n";
}

} // namespace

void printTable(const TextTable &table)
{
    std::vector<std::size_t> widths(table.heading_.size(), 0);
    const auto widen = [&](const std::vector<std::string> &row) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    };
    widen(table.heading_);
    std::for_each(table.rows_.begin(), table.rows_.end(), widen);
    printRow(table.heading_, widths);
    for (const auto &row : table.rows_) {
        printRow(row, widths);
    }
}

void printJson(const json::value &value)
{
    std::cout << json::serialize(value) << "\n";
}

TextTable makeTable(const json::value &rows)
{
    TextTable table;
    for (const json::value &row : rows.as_array()) {
        std::vector<std::string> texts;
        for (const auto &member : row.as_object()) {
            if (table.rows_.empty()) {
                table.heading_.emplace_back(member.key());
            }
            texts.push_back(plainText(member.value()));
        }
        table.rows_.push_back(std::move(texts));
    }
    return table;
}

std::string plainText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

} // namespace radishford
