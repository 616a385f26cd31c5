#include "gdctl_print.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

/// Longest cell of a table, in bytes.
constexpr std::size_t max_cell = 60;

/// Text of a value in one line. Control characters stay escaped, so that an answer
/// cannot drive the operator's terminal.
std::string cell_text(const json::value& value)
{
    if (value.is_array() && value.get_array().empty())
    {
        return "none";
    }
    std::string text = json::serialize(value);
    if (value.is_double())
    {
        std::ostringstream number;
        number << value.get_double();
        text = number.str();
    }
    if (value.is_string() && text.find('\\') == std::string::npos)
    {
        text = text.substr(1, text.size() - 2);
    }
    if (text.size() > max_cell)
    {
        text = text.substr(0, max_cell - 3) + "...";
    }
    return text;
}

bool is_table(const json::value& value)
{
    return value.is_array() && !value.get_array().empty() &&
           value.get_array()[0].is_object();
}

bool is_empty(const json::value& value)
{
    return value.is_null() || (value.is_string() && value.get_string().empty());
}

std::vector<std::string> columns_of(const json::array& rows)
{
    std::vector<std::string> columns;
    for (const auto& row : rows)
    {
        for (const auto& member : row.is_object() ? row.get_object() : json::object{})
        {
            const std::string key{member.key().data(), member.key().size()};
            if (std::find(columns.begin(), columns.end(), key) == columns.end())
            {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

std::string cell_of(const json::value& row, const std::string& column)
{
    const auto* object = row.if_object();
    const auto* value = object ? object->if_contains(column) : nullptr;
    return value ? cell_text(*value) : "";
}

void print_table(std::ostream& out, const json::array& rows)
{
    const auto columns = columns_of(rows);
    std::vector<std::size_t> widths;
    for (const auto& column : columns)
    {
        std::size_t width = column.size();
        for (const auto& row : rows)
        {
            width = std::max(width, cell_of(row, column).size());
        }
        widths.push_back(width + 2);
    }
    out << std::left;
    for (std::size_t i = 0; i < columns.size(); ++i)
    {
        out << std::setw(static_cast<int>(widths[i])) << columns[i];
    }
    out << '\n';
    for (const auto& row : rows)
    {
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            out << std::setw(static_cast<int>(widths[i])) << cell_of(row, columns[i]);
        }
        out << '\n';
    }
}

void print_object(std::ostream& out, const json::object& object)
{
    for (const auto& member : object)
    {
        const std::string key{member.key().data(), member.key().size()};
        if (const auto* child = member.value().if_object())
        {
            out << '[' << key << "]\n";
            print_object(out, *child);
        }
        else if (is_table(member.value()))
        {
            out << '\n' << key << ":\n";
            print_table(out, member.value().get_array());
        }
        else if (!is_empty(member.value()))
        {
            out << key << ": " << cell_text(member.value()) << '\n';
        }
    }
}

} // namespace

void print_answer(std::ostream& out, const http_response& answer, bool as_json)
{
    const auto document = parse_answer(answer);
    const auto* object = document ? document->if_object() : nullptr;
    if (as_json || object == nullptr)
    {
        out << answer.m_body << '\n';
        return;
    }
    print_object(out, *object);
}

void print_hosts(std::ostream& out, const std::vector<host_change>& hosts)
{
    out << "\nhosts:\n";
    print_table(out, to_rows(hosts));
}

json::array to_rows(const std::vector<host_change>& hosts)
{
    json::array rows;
    for (const auto& host : hosts)
    {
        rows.push_back(json::object{{"host", host.m_host}, {"change", host.m_state}});
    }
    return rows;
}

} // namespace geraniumdoor
