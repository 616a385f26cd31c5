#pragma once

#include <geraniumdoor/config/document_reader.hpp>
#include <geraniumdoor/config/sheet.hpp>

#include <set>

namespace geraniumdoor
{

struct sheet_row
{
    /// Position in the sheet; the header is row 1.
    std::size_t m_number = 0;
    std::vector<std::string> m_cells;
};

struct sheet_cells
{
    std::vector<std::string> m_columns;
    /// Rows with at least one cell that is not empty.
    std::vector<sheet_row> m_rows;
};

/// Adds a fault unless the report is full.
void add_fault(sheet_faults& faults, std::size_t row, std::string column,
               std::string message);

/// Reads the cells of a sheet by libcsv and checks its size and quoting. Blanks around
/// cells are removed.
result<sheet_cells, sheet_faults> read_sheet_cells(std::string_view text);

/// Reads the cells of one row by column name, collects all faults, and finds cells that
/// are filled although the row's kind does not use them.
class sheet_row_reader
{
public:
    sheet_row_reader(const sheet_cells& cells, const sheet_row& row,
                     sheet_faults& faults);

    std::size_t row() const
    {
        return m_row.m_number;
    }

    /// Text of the cell; empty when the sheet has no such column.
    std::string text(const std::string& column);

    /// Text for which is_id holds.
    std::string id(const std::string& column);

    std::uint64_t number(const std::string& column, number_range range);
    double real(const std::string& column, double min, double max);

    /// "yes" or "no"; empty for no.
    bool flag(const std::string& column);

    template<class Enum>
    Enum name(const std::string& column, enum_names<Enum> names)
    {
        const std::string given = text(column);
        std::string list;
        for (const auto& [accepted, value] : names)
        {
            if (accepted == given)
            {
                return value;
            }
            list += list.empty() ? "" : ", ";
            list += accepted;
        }
        fault(column, "must be one of " + list);
        return names.front().second;
    }

    void fault(const std::string& column, std::string message);

    /// Adds a fault for each filled cell that was never asked for.
    void finish(std::string_view kind);

private:
    const sheet_cells& m_sheet;
    const sheet_row& m_row;
    sheet_faults& m_faults;
    std::set<std::string> m_used;
};

} // namespace geraniumdoor
