#include "sheet_cells.hpp"

#include <csv.h>

#include <algorithm>
#include <charconv>

namespace geraniumdoor
{

namespace
{

constexpr std::size_t max_rows = 40'000;
constexpr std::size_t max_columns = 64;
constexpr std::size_t max_cell_bytes = 4096;
constexpr std::size_t max_shown_cell = 40;
constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

/// Rows as libcsv delivers them.
struct cell_collector
{
    std::vector<sheet_row> m_rows;
    std::vector<std::string> m_cells;
    std::size_t m_row = 1;
    int m_last_line_end = 0;
    sheet_faults m_faults;
};

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return std::string{text.substr(first, last - first + 1)};
}

void collect_cell(void* bytes, std::size_t length, void* data)
{
    auto& collector = *static_cast<cell_collector*>(data);
    const std::string_view text{static_cast<const char*>(bytes), length};
    collector.m_last_line_end = 0;
    if (length > max_cell_bytes)
    {
        add_fault(collector.m_faults, collector.m_row, "",
                  "cell " + std::to_string(collector.m_cells.size() + 1) +
                      " has more than " + std::to_string(max_cell_bytes) + " bytes");
    }
    if (collector.m_cells.size() <= max_columns)
    {
        collector.m_cells.push_back(trimmed(text.substr(0, max_cell_bytes)));
    }
}

bool is_filled(const std::vector<std::string>& cells)
{
    return std::any_of(cells.begin(), cells.end(),
                       [](const std::string& cell)
                       {
                           return !cell.empty();
                       });
}

/// Called for each line end, so that empty lines count as rows. The second half of a
/// CR LF pair does not end another row.
void collect_row(int line_end, void* data)
{
    auto& collector = *static_cast<cell_collector*>(data);
    const bool second_half = line_end == '\n' && collector.m_last_line_end == '\r' &&
                             collector.m_cells.empty();
    collector.m_last_line_end = line_end;
    if (second_half)
    {
        return;
    }
    if (collector.m_cells.size() > max_columns)
    {
        add_fault(collector.m_faults, collector.m_row, "",
                  "has more than " + std::to_string(max_columns) + " cells");
    }
    if (is_filled(collector.m_cells))
    {
        collector.m_rows.push_back({collector.m_row, std::move(collector.m_cells)});
    }
    collector.m_cells.clear();
    ++collector.m_row;
}

/// Returns whether the whole text was read.
bool run_parser(std::string_view text, cell_collector& collector)
{
    csv_parser parser{};
    constexpr unsigned char options =
        CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL | CSV_APPEND_NULL;
    if (csv_init(&parser, options) != 0)
    {
        return false;
    }
    const bool read = csv_parse(&parser, text.data(), text.size(), &collect_cell,
                                &collect_row, &collector) == text.size();
    const bool finished =
        read && csv_fini(&parser, &collect_cell, &collect_row, &collector) == 0;
    csv_free(&parser);
    return finished;
}

void check_header(const sheet_row& header, sheet_faults& faults)
{
    std::set<std::string> seen;
    for (const auto& column : header.m_cells)
    {
        if (!column.empty() && !seen.insert(column).second)
        {
            add_fault(faults, header.m_number, column, "appears twice in the header");
        }
    }
    if (!seen.contains("kind"))
    {
        add_fault(faults, header.m_number, "kind", "is missing in the header");
    }
}

void check_lengths(const sheet_cells& cells, sheet_faults& faults)
{
    for (const auto& row : cells.m_rows)
    {
        for (std::size_t i = 0; i < row.m_cells.size(); ++i)
        {
            const bool named = i < cells.m_columns.size() && !cells.m_columns[i].empty();
            if (!named && !row.m_cells[i].empty())
            {
                add_fault(faults, row.m_number, "",
                          "cell " + std::to_string(i + 1) +
                              " has no column name in the header");
            }
        }
    }
}

std::string shown(const std::string& cell)
{
    const bool plain = std::all_of(cell.begin(), cell.end(),
                                   [](char c)
                                   {
                                       return c >= 0x20 && c < 0x7f;
                                   });
    if (!plain)
    {
        return "a text with special characters";
    }
    return '"' + cell.substr(0, max_shown_cell) + '"';
}

} // namespace

void add_fault(sheet_faults& faults, std::size_t row, std::string column,
               std::string message)
{
    if (faults.size() < max_document_faults)
    {
        faults.push_back({row, std::move(column), std::move(message)});
    }
}

result<sheet_cells, sheet_faults> read_sheet_cells(std::string_view text)
{
    cell_collector collector;
    if (text.size() > max_sheet_bytes)
    {
        add_fault(collector.m_faults, 0, "",
                  "the sheet has " + std::to_string(text.size()) + " bytes; at most " +
                      std::to_string(max_sheet_bytes) + " are accepted");
        return collector.m_faults;
    }
    if (text.starts_with(byte_order_mark))
    {
        text.remove_prefix(byte_order_mark.size());
    }
    if (!run_parser(text, collector))
    {
        add_fault(collector.m_faults, collector.m_row, "",
                  "cell " + std::to_string(collector.m_cells.size() + 1) +
                      " has a quote that is not closed or not doubled");
    }
    if (collector.m_rows.empty() || collector.m_rows.size() > max_rows)
    {
        add_fault(collector.m_faults, 0, "",
                  "the sheet must have a header and at most " + std::to_string(max_rows) +
                      " rows");
    }
    if (!collector.m_faults.empty())
    {
        return collector.m_faults;
    }
    sheet_cells cells;
    check_header(collector.m_rows.front(), collector.m_faults);
    cells.m_columns = std::move(collector.m_rows.front().m_cells);
    collector.m_rows.erase(collector.m_rows.begin());
    cells.m_rows = std::move(collector.m_rows);
    check_lengths(cells, collector.m_faults);
    if (!collector.m_faults.empty())
    {
        return collector.m_faults;
    }
    return cells;
}

sheet_row_reader::sheet_row_reader(const sheet_cells& cells, const sheet_row& row,
                                   sheet_faults& faults)
    : m_sheet{cells}, m_row{row}, m_faults{faults}
{
}

std::string sheet_row_reader::text(const std::string& column)
{
    m_used.insert(column);
    const auto& columns = m_sheet.m_columns;
    const auto at = std::find(columns.begin(), columns.end(), column);
    const auto index = static_cast<std::size_t>(at - columns.begin());
    return index < m_row.m_cells.size() && at != columns.end() ? m_row.m_cells[index]
                                                               : "";
}

std::string sheet_row_reader::id(const std::string& column)
{
    std::string given = text(column);
    if (!is_id(given))
    {
        fault(column, "must be 1 to 64 letters, digits, \".\", \"_\" or \"-\", but is " +
                          shown(given));
    }
    return given;
}

std::uint64_t sheet_row_reader::number(const std::string& column, number_range range)
{
    const std::string given = text(column);
    std::uint64_t value = 0;
    const char* end = given.data() + given.size();
    const auto [stop, error] = std::from_chars(given.data(), end, value);
    const bool read = error == std::errc{} && stop == end;
    if (!read || value < range.m_min || value > range.m_max)
    {
        fault(column, "must be a whole number from " + std::to_string(range.m_min) +
                          " to " + std::to_string(range.m_max) + ", but is " +
                          shown(given));
        return range.m_min;
    }
    return value;
}

double sheet_row_reader::real(const std::string& column, double min, double max)
{
    const std::string given = text(column);
    double value = min;
    const char* end = given.data() + given.size();
    const auto [stop, error] = std::from_chars(given.data(), end, value);
    const bool read = error == std::errc{} && stop == end;
    if (!read || !(value >= min && value <= max))
    {
        fault(column, "must be a number from " +
                          std::to_string(static_cast<std::int64_t>(min)) + " to " +
                          std::to_string(static_cast<std::int64_t>(max)) + ", but is " +
                          shown(given));
        return min;
    }
    return value;
}

bool sheet_row_reader::flag(const std::string& column)
{
    const std::string given = text(column);
    if (given != "yes" && given != "no" && !given.empty())
    {
        fault(column, "must be yes or no, but is " + shown(given));
    }
    return given == "yes";
}

void sheet_row_reader::fault(const std::string& column, std::string message)
{
    add_fault(m_faults, m_row.m_number, column, std::move(message));
}

void sheet_row_reader::finish(std::string_view kind)
{
    for (std::size_t i = 0; i < m_row.m_cells.size(); ++i)
    {
        const std::string& column = m_sheet.m_columns[i];
        if (!m_row.m_cells[i].empty() && !m_used.contains(column))
        {
            fault(column, "must be empty in a row of kind " + std::string{kind});
        }
    }
}

} // namespace geraniumdoor
