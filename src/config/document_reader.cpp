#include <geraniumdoor/config/document_reader.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <sstream>

namespace geraniumdoor
{

namespace
{

/// Longest part of a wrong value or key that a fault repeats, in bytes.
constexpr std::size_t max_shown_value = 40;

/// Cuts a long text between two UTF-8 characters, so that it stays valid in answers.
std::string shortened(std::string text)
{
    if (text.size() <= max_shown_value)
    {
        return text;
    }
    std::size_t length = max_shown_value;
    while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xc0) == 0x80)
    {
        --length;
    }
    text.resize(length);
    return text + "...";
}

std::string shown(const boost::json::value& value)
{
    if (value.is_object())
    {
        return "an object";
    }
    if (value.is_array())
    {
        return "an array";
    }
    if (value.is_double())
    {
        std::ostringstream number;
        number << value.get_double();
        return number.str();
    }
    return shortened(boost::json::serialize(value));
}

std::string range_text(number_range range)
{
    std::string text = "must be a whole number from " + std::to_string(range.m_min);
    return text + " to " + std::to_string(range.m_max);
}

std::string position_text(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto line_start = before.rfind('\n');
    const auto column = line_start == std::string_view::npos ? before.size() + 1
                                                             : before.size() - line_start;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

document_faults one_fault(std::string message)
{
    return {document_fault{"", std::move(message)}};
}

bool is_id_character(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '.' || c == '_' || c == '-';
}

} // namespace

void add_fault(document_faults& faults, std::string path, std::string message)
{
    if (faults.size() < max_document_faults)
    {
        faults.push_back(document_fault{std::move(path), std::move(message)});
    }
}

std::string to_text(const document_faults& faults)
{
    std::string text;
    for (const auto& fault : faults)
    {
        text += text.empty() ? "" : "\n";
        text += fault.m_path.empty() ? "" : fault.m_path + ": ";
        text += fault.m_message;
    }
    return text;
}

result<boost::json::value, document_faults> parse_document(std::string_view text,
                                                           std::size_t max_bytes)
{
    if (text.size() > max_bytes)
    {
        return one_fault("the document has " + std::to_string(text.size()) +
                         " bytes; at most " + std::to_string(max_bytes) +
                         " are accepted");
    }
    boost::json::parse_options options;
    options.allow_comments = true;
    boost::json::stream_parser parser{{}, options};
    boost::json::error_code error;
    const std::size_t read = parser.write_some(text.data(), text.size(), error);
    if (!error && read < text.size())
    {
        error = boost::json::error::extra_data;
    }
    if (!error)
    {
        parser.finish(error);
    }
    if (error)
    {
        return one_fault("syntax error at " + position_text(text, read) + ": " +
                         error.message());
    }
    return parser.release();
}

bool is_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

object_reader::object_reader(const boost::json::value& value, std::string path,
                             document_faults& faults)
    : m_object{value.if_object()}, m_path{std::move(path)}, m_faults{&faults}
{
    if (m_object == nullptr)
    {
        add_fault(faults, m_path, "must be an object, but is " + shown(value));
    }
}

bool object_reader::has(std::string_view key) const
{
    return m_object != nullptr && m_object->contains(key);
}

std::string object_reader::text(std::string_view key, std::size_t max_length,
                                bool may_be_empty)
{
    const auto* value = find_required(key);
    if (value == nullptr)
    {
        return {};
    }
    const auto* text = value->if_string();
    const bool accepted =
        text != nullptr && text->size() <= max_length && (may_be_empty || !text->empty());
    if (!accepted)
    {
        fault(key, "must be a text of " + std::string{may_be_empty ? "0" : "1"} + " to " +
                       std::to_string(max_length) + " bytes, but is " + shown(*value));
        return {};
    }
    return std::string{text->data(), text->size()};
}

std::string object_reader::text_or(std::string_view key, std::string fallback,
                                   std::size_t max_length)
{
    return find(key) == nullptr ? fallback : text(key, max_length, true);
}

std::string object_reader::id(std::string_view key)
{
    const auto* value = find_required(key);
    if (value == nullptr)
    {
        return {};
    }
    const auto* text = value->if_string();
    if (text == nullptr || !is_id(std::string_view{text->data(), text->size()}))
    {
        fault(key, "must be 1 to 64 letters, digits, \".\", \"_\" or \"-\", but is " +
                       shown(*value));
        return {};
    }
    return std::string{text->data(), text->size()};
}

std::optional<std::string> object_reader::optional_id(std::string_view key)
{
    return find(key) == nullptr ? std::nullopt : std::optional{id(key)};
}

std::uint64_t object_reader::number(std::string_view key, number_range range)
{
    const auto* value = find_required(key);
    return value == nullptr ? range.m_min : number_in(key, *value, range.m_min, range);
}

std::uint64_t object_reader::number_or(std::string_view key, std::uint64_t fallback,
                                       number_range range)
{
    const auto* value = find(key);
    return value == nullptr ? fallback : number_in(key, *value, fallback, range);
}

milliseconds object_reader::ms_or(std::string_view key, milliseconds fallback,
                                  number_range range)
{
    const auto count = static_cast<std::uint64_t>(fallback.count());
    return milliseconds{number_or(key, count, range)};
}

double object_reader::real(std::string_view key, double min, double max)
{
    const auto* value = find_required(key);
    if (value == nullptr)
    {
        return min;
    }
    const double given = value->is_number() ? value->to_number<double>() : min - 1;
    if (!(given >= min && given <= max))
    {
        fault(key, "must be a number from " + shown(min) + " to " + shown(max) +
                       ", but is " + shown(*value));
        return min;
    }
    return given;
}

bool object_reader::flag_or(std::string_view key, bool fallback)
{
    const auto* value = find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        fault(key, "must be true or false, but is " + shown(*value));
        return fallback;
    }
    return value->get_bool();
}

std::optional<object_reader> object_reader::object(std::string_view key, bool required)
{
    const auto* value = required ? find_required(key) : find(key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    object_reader reader{*value, path_of(key), *m_faults};
    return reader.is_object() ? std::optional{std::move(reader)} : std::nullopt;
}

void object_reader::each_object(std::string_view key, std::size_t max_items,
                                const std::function<void(object_reader&)>& call)
{
    const auto* items = find_array(key, max_items, true);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
    {
        object_reader reader{(*items)[i], path_of(key) + '[' + std::to_string(i) + ']',
                             *m_faults};
        if (reader.is_object())
        {
            call(reader);
            reader.finish();
        }
    }
}

void object_reader::each_text(
    std::string_view key, std::size_t max_items,
    const std::function<void(const std::string& item, const std::string& path)>& call)
{
    const auto* items = find_array(key, max_items, false);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
    {
        const std::string path = path_of(key) + '[' + std::to_string(i) + ']';
        if (const auto* text = (*items)[i].if_string())
        {
            call(std::string{text->data(), text->size()}, path);
        }
        else
        {
            add_fault(*m_faults, path, "must be a text, but is " + shown((*items)[i]));
        }
    }
}

void object_reader::fault(std::string_view key, std::string message)
{
    add_fault(*m_faults, path_of(key), std::move(message));
}

std::string object_reader::path_of(std::string_view key) const
{
    return m_path.empty() ? std::string{key} : m_path + '.' + std::string{key};
}

void object_reader::finish()
{
    if (m_object == nullptr)
    {
        return;
    }
    for (const auto& member : *m_object)
    {
        const std::string_view key{member.key().data(), member.key().size()};
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
        {
            std::string accepted;
            for (const auto& known : m_known)
            {
                accepted += accepted.empty() ? "" : ", ";
                accepted += known;
            }
            fault(shortened(std::string{key}),
                  "is not a known key; accepted keys: " + accepted);
        }
    }
}

const boost::json::value* object_reader::find(std::string_view key)
{
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
    {
        m_known.emplace_back(key);
    }
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

const boost::json::value* object_reader::find_required(std::string_view key)
{
    const auto* value = find(key);
    if (value == nullptr && m_object != nullptr)
    {
        fault(key, "is missing");
    }
    return value;
}

const boost::json::array* object_reader::find_array(std::string_view key,
                                                    std::size_t max_items, bool required)
{
    const auto* value = required ? find_required(key) : find(key);
    if (value == nullptr)
    {
        return nullptr;
    }
    const auto* items = value->if_array();
    if (items == nullptr || items->size() > max_items)
    {
        fault(key, "must be an array of at most " + std::to_string(max_items) + " items");
        return nullptr;
    }
    return items;
}

bool object_reader::is_text(std::string_view key) const
{
    const auto* value = m_object == nullptr ? nullptr : m_object->if_contains(key);
    return value != nullptr && value->is_string();
}

std::uint64_t object_reader::number_in(std::string_view key,
                                       const boost::json::value& value,
                                       std::uint64_t fallback, number_range range)
{
    boost::json::error_code error;
    const auto given = value.is_number() ? value.to_number<std::uint64_t>(error) : 0;
    const bool accepted =
        value.is_number() && !error && given >= range.m_min && given <= range.m_max;
    if (!accepted)
    {
        fault(key, range_text(range) + ", but is " + shown(value));
        return fallback;
    }
    return given;
}

} // namespace geraniumdoor
