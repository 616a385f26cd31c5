#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/units.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumdoor
{

/// One fault of a document: where it is and which values are accepted there.
struct document_fault
{
    /// Path of the key, such as "pools[2].warm_limit"; empty for the whole document.
    std::string m_path;
    std::string m_message;

    bool operator==(const document_fault&) const = default;
};

using document_faults = std::vector<document_fault>;

/// Faults beyond this number are not reported, so that the report stays readable and
/// bounded.
constexpr std::size_t max_document_faults = 100;

/// Adds a fault unless the report is full.
void add_fault(document_faults& faults, std::string path, std::string message);

/// Returns "path: message", one fault per line.
std::string to_text(const document_faults& faults);

/// Parses JSON in which comments are allowed. A syntax error is reported with line and
/// column, a text longer than max_bytes with both sizes.
result<boost::json::value, document_faults> parse_document(std::string_view text,
                                                           std::size_t max_bytes);

/// Inclusive range of a whole number.
struct number_range
{
    std::uint64_t m_min = 0;
    std::uint64_t m_max = UINT64_MAX;
};

/// Accepted names of an enumeration and their values.
template<class Enum>
using enum_names = std::span<const std::pair<std::string_view, Enum>>;

/// Longest id, in bytes.
constexpr std::size_t max_id_length = 64;

/// Whether the text has 1 to 64 letters, digits and "._-". Ids are used in keys of the
/// table service, in paths and in log lines.
bool is_id(std::string_view text);

/// Reads the members of one JSON object, collects all faults, and finds unknown keys.
/// After a fault the value returned is the fallback or empty. The JSON value and the
/// faults outlive the reader.
class object_reader
{
public:
    object_reader(const boost::json::value& value, std::string path,
                  document_faults& faults);

    /// Whether the value is an object at all.
    bool is_object() const
    {
        return m_object != nullptr;
    }

    bool has(std::string_view key) const;

    /// Required text of at most max_length bytes.
    std::string text(std::string_view key, std::size_t max_length, bool may_be_empty);
    std::string text_or(std::string_view key, std::string fallback,
                        std::size_t max_length);

    /// Required text for which is_id holds.
    std::string id(std::string_view key);
    std::optional<std::string> optional_id(std::string_view key);

    std::uint64_t number(std::string_view key, number_range range);
    std::uint64_t number_or(std::string_view key, std::uint64_t fallback,
                            number_range range);
    milliseconds ms_or(std::string_view key, milliseconds fallback, number_range range);

    /// Required number with fraction, from min to max.
    double real(std::string_view key, double min, double max);

    bool flag_or(std::string_view key, bool fallback);

    /// Required name of an enumeration.
    template<class Enum>
    Enum name(std::string_view key, enum_names<Enum> names)
    {
        const std::string given = text(key, max_id_length, true);
        for (const auto& [accepted, value] : names)
        {
            if (accepted == given)
            {
                return value;
            }
        }
        if (is_text(key))
        {
            std::string list;
            for (const auto& entry : names)
            {
                list += list.empty() ? "" : ", ";
                list += '"' + std::string{entry.first} + '"';
            }
            fault(key, "must be one of " + list);
        }
        return names.front().second;
    }

    /// Reader of an object; absent when the key is missing or not an object.
    std::optional<object_reader> object(std::string_view key, bool required);

    /// Calls the function with a reader for each object of a required array.
    void each_object(std::string_view key, std::size_t max_items,
                     const std::function<void(object_reader&)>& call);

    /// Texts of an optional array; the function turns each into a value or adds a fault.
    void each_text(std::string_view key, std::size_t max_items,
                   const std::function<void(const std::string& item,
                                            const std::string& path)>& call);

    /// Adds a fault for the key.
    void fault(std::string_view key, std::string message);

    /// Path of a key of this object.
    std::string path_of(std::string_view key) const;

    /// Adds a fault for each key that was never asked for.
    void finish();

private:
    const boost::json::value* find(std::string_view key);
    const boost::json::value* find_required(std::string_view key);
    const boost::json::array* find_array(std::string_view key, std::size_t max_items,
                                         bool required);
    bool is_text(std::string_view key) const;
    std::uint64_t number_in(std::string_view key, const boost::json::value& value,
                            std::uint64_t fallback, number_range range);

    const boost::json::object* m_object = nullptr;
    std::string m_path;
    document_faults* m_faults;
    std::vector<std::string> m_known;
};

} // namespace geraniumdoor
