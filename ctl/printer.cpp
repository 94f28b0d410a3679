// Purpose: printing of replies as text or JSON.
#include "ctl/printer.hpp"

#include "ctl/fields.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace fescuevane::ctl
{
namespace
{

// Invalid UTF-8 in a body is replaced; a dump would throw otherwise.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_cell(json const& value)
{
    return value.is_string() ? value.get<std::string>() : dump(value);
}

void pad(std::ostream& output, std::string const& text, std::size_t width)
{
    output << text
           << std::string(width > text.size() ? width - text.size() : 0, ' ');
}

void print_text_record(std::ostream& output, json const& record)
{
    if (!record.is_object())
    {
        output << format_cell(record) << '\n';
        return;
    }
    std::size_t width = 0;
    for (auto const& field : record.items())
    {
        width = std::max(width, field.key().size());
    }
    for (auto const& field : record.items())
    {
        pad(output, field.key(), width + 2);
        output << format_cell(field.value()) << '\n';
    }
}

using text_row = std::vector<std::string>;

text_row list_columns(json const& rows)
{
    text_row columns;
    for (json const& row : rows)
    {
        for (auto const& field : row.items())
        {
            if (std::find(columns.begin(), columns.end(), field.key()) ==
                columns.end())
            {
                columns.push_back(field.key());
            }
        }
    }
    return columns;
}

text_row format_row(json const& row, text_row const& columns)
{
    text_row cells;
    for (std::string const& column : columns)
    {
        cells.push_back(row.contains(column) ? format_cell(row.at(column))
                                             : "-");
    }
    return cells;
}

void print_aligned(std::ostream& output, std::vector<text_row> const& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (text_row const& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (text_row const& row : rows)
    {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
        {
            pad(output, row[i], widths[i] + 2);
        }
        output << row.back() << '\n';
    }
}

void print_text_rows(std::ostream& output, json const& reply, char const* list)
{
    json const     rows = read_list(reply, list);
    text_row const columns = list_columns(rows);
    if (columns.empty())
    {
        output << "no " << list << '\n';
        return;
    }
    std::vector<text_row> lines = {columns};
    for (json const& row : rows)
    {
        lines.push_back(format_row(row, columns));
    }
    print_aligned(output, lines);
}

void print_json_record(std::ostream& output, json const& record)
{
    output << dump(record) << '\n';
}

void print_json_rows(std::ostream& output, json const& reply,
                     char const* /*list*/)
{
    output << dump(reply) << '\n';
}

constexpr std::array<printer, 2> printers = {{
    {"text", &print_text_record, &print_text_rows},
    {"json", &print_json_record, &print_json_rows},
}};

} // namespace

printer const* find_printer(std::string_view name)
{
    auto const found = std::find_if(printers.begin(), printers.end(),
                                    [&](printer const& each)
                                    {
                                        return each.name_ == name;
                                    });
    return found == printers.end() ? nullptr : &*found;
}

} // namespace fescuevane::ctl
